package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// unknownKeys reports every key in the JSON text that the type of into has no field for, and every value of the wrong JSON
// type.
func unknownKeys(data []byte, into any) []Problem {
	var raw any
	if err := json.Unmarshal(data, &raw); err != nil {
		return []Problem{{Path: "$", Text: "not valid JSON: " + err.Error()}}
	}
	var problems []Problem
	walkUnknown("$", raw, reflect.TypeOf(into), &problems)
	return problems
}

func walkUnknown(path string, raw any, typ reflect.Type, problems *[]Problem) {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if want := wantType(typ); raw != nil && want != jsonType(raw) {
		*problems = append(*problems, Problem{Path: path, Text: fmt.Sprintf("is %s, want %s", jsonType(raw), want)})
		return
	}
	switch v := raw.(type) {
	case map[string]any:
		walkObject(path, v, typ, problems)
	case []any:
		for i, e := range v {
			walkUnknown(fmt.Sprintf("%s[%d]", path, i), e, typ.Elem(), problems)
		}
	}
}

func walkObject(path string, obj map[string]any, typ reflect.Type, problems *[]Problem) {
	for _, key := range sortedKeys(obj) {
		at := path + "." + key
		switch typ.Kind() {
		case reflect.Map:
			walkUnknown(at, obj[key], typ.Elem(), problems)
		case reflect.Struct:
			f, ok := fieldByKey(typ, key)
			if !ok {
				*problems = append(*problems, Problem{Path: at, Text: "unknown key"})
				continue
			}
			walkUnknown(at, obj[key], f.Type, problems)
		}
	}
}

func fieldByKey(typ reflect.Type, key string) (reflect.StructField, bool) {
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

var durationType = reflect.TypeFor[Duration]()

// wantType names the JSON type that a Go type is decoded from.
func wantType(typ reflect.Type) string {
	if typ == durationType {
		return "a string"
	}
	switch typ.Kind() {
	case reflect.Map, reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a number"
	}
}

// jsonType names the JSON type of a decoded value.
func jsonType(raw any) string {
	switch raw.(type) {
	case map[string]any:
		return "an object"
	case []any:
		return "an array"
	case string:
		return "a string"
	case bool:
		return "true or false"
	default:
		return "a number"
	}
}
