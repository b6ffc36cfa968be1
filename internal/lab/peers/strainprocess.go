package peers

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// StrainVariable is the environment variable by which a program is told to play a StrainSpec.
const StrainVariable = "PEERS_STRAIN"

// StrainSpec is what a process of straining clients plays before a node.
type StrainSpec struct {
	Addr     string
	TimeLeft time.Duration
	Method   string // of the straining requests
	Clients  map[StrainKind]int
	Crowds   []StrainCrowd
	Busy     bool // it only uses its core
}

// StrainCrowd is a number of clients that make the same request again and again.
type StrainCrowd struct {
	Clients int
	Request Request
}

// StartStrainProcess starts a program that calls RunStrainProcess. Clients that are judged have the goroutines of their
// own process for themselves. It returns the process, and a function that ends it.
func StartStrainProcess(program string, spec StrainSpec) (process *os.Process, end func(), err error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, nil, err
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), StrainVariable+"="+string(text))
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := command.Start(); err != nil {
		return nil, nil, err
	}
	return command.Process, sync.OnceFunc(func() {
		input.Close()
		command.Process.Kill()
		command.Wait()
	}), nil
}

// RunStrainProcess plays the StrainSpec of a text until the standard input ends.
func RunStrainProcess(text string) error {
	spec := StrainSpec{}
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return err
	}
	stop := make(chan struct{})
	if spec.Busy {
		go func() {
			for !closed(stop) {
				continue
			}
		}()
	}
	for kind, clients := range spec.Clients {
		for range clients {
			go Strain(kind, Request{Addr: spec.Addr, Method: spec.Method, TimeLeft: spec.TimeLeft}, stop)
		}
	}
	for _, crowd := range spec.Crowds {
		crowd.Request.Addr, crowd.Request.TimeLeft = spec.Addr, spec.TimeLeft
		for range crowd.Clients {
			go func() {
				for !closed(stop) {
					Do(crowd.Request, spec.TimeLeft)
				}
			}()
		}
	}
	io.Copy(io.Discard, os.Stdin)
	return nil
}
