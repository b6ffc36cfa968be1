package peers

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Framing is how a response's body ends.
type Framing string

// The framings of a body.
const (
	WithLength  Framing = "length"
	Chunked     Framing = "chunked"
	UntilClosed Framing = "close"
)

// behaviorKey marks a query that has a Behavior.
const behaviorKey = "peer"

// Behavior is how a Server treats one request.
type Behavior struct {
	Size       int           // bytes of the response's body
	Framing    Framing       // of the response
	HeadDelay  time.Duration // from the request's last byte to the response's head
	BodyDelay  time.Duration // from the head to the body's first byte
	WriteRate  int           // bytes of the body per second; 0: as fast as the connection takes them
	ReadRate   int           // bytes of the request's body per second; 0: as fast as they arrive
	StopReadAt int           // bytes of the request's body after which the server stops reading; 0: it reads all
	AnswerAt   int           // bytes of the request's body after which it answers; 0: after all
	EndAt      int           // bytes of the response's body after which it resets the connection; 0: never
}

// Query returns the query that asks a Server for the behavior.
func (b Behavior) Query() string {
	values := url.Values{behaviorKey: {"1"}, "framing": {string(b.Framing)}}
	for name, number := range b.numbers() {
		if *number != 0 {
			values.Set(name, strconv.Itoa(*number))
		}
	}
	for name, duration := range b.durations() {
		if *duration != 0 {
			values.Set(name, duration.String())
		}
	}
	return values.Encode()
}

func (b *Behavior) numbers() map[string]*int {
	return map[string]*int{
		"size":   &b.Size,
		"write":  &b.WriteRate,
		"read":   &b.ReadRate,
		"stop":   &b.StopReadAt,
		"answer": &b.AnswerAt,
		"end":    &b.EndAt,
	}
}

func (b *Behavior) durations() map[string]*time.Duration {
	return map[string]*time.Duration{"head": &b.HeadDelay, "body": &b.BodyDelay}
}

// ParseBehavior parses the query of a request's target. It returns false if the target asks for no behavior.
func ParseBehavior(target string) (Behavior, bool, error) {
	_, query, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(query)
	if err != nil || values.Get(behaviorKey) == "" {
		return Behavior{}, false, nil
	}
	b := Behavior{Framing: Framing(values.Get("framing"))}
	for name, number := range b.numbers() {
		if text := values.Get(name); text != "" {
			if *number, err = strconv.Atoi(text); err != nil {
				return b, true, fmt.Errorf("%s is %q, expected a number", name, text)
			}
		}
	}
	for name, duration := range b.durations() {
		if text := values.Get(name); text != "" {
			if *duration, err = time.ParseDuration(text); err != nil {
				return b, true, fmt.Errorf("%s is %q, expected a duration", name, text)
			}
		}
	}
	return b, true, nil
}
