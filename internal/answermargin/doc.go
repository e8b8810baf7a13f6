// Package answermargin calculates how much earlier than its objective an answer has to be sent.
package answermargin
