package settings

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "150ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// Or returns d, or def when d is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from a string. It returns an errorx.IllegalFormat error for any other value.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errorx.IllegalFormat.New("a duration is a string such as \"150ms\", not %s", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errorx.IllegalFormat.New("%q is not a duration such as \"150ms\"", s)
	}
	*d = Duration(v)
	return nil
}
