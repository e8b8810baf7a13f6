package answermargin

import "time"

// answerWork is the time on one full core to read a search and to write its answer of some 4 KB, including
// scheduling.
const answerWork = 2 * time.Millisecond

// Estimate returns the answer margin: how much earlier than its objective an answer is sent. transit is the
// time the answer needs to reach the caller. processor is the share of a core that the VM has, 0 when it is not known:
// reading the request and writing the answer take as much longer as the share is smaller than a full core.
func Estimate(transit time.Duration, processor float64) time.Duration {
	if processor <= 0 {
		return transit
	}
	return transit + time.Duration(float64(answerWork)/processor)
}
