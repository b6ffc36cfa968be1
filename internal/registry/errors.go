package registry

import "fmt"

// RefusedError is a call for the server list that discovery answered with something else than a list.
type RefusedError struct {
	Status int // of HTTP
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("discovery answered %d: the list held stays and the call is made again; if this lasts, look at discovery's load "+
		"and at the number of nodes that call it", e.Status)
}
