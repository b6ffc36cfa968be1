package cases_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// answerSlack is how long after its time a request may be answered, with the 50 ms that each limit is longer by on
	// sockets.
	answerSlack = 550 * time.Millisecond
	// drainGrace is the grace of the rule on drains, with the same 50 ms.
	drainGrace = 450 * time.Millisecond
)

// notRun is the reason why a case could not run.
type notRun string

// play is one run of a case.
type play struct {
	trouble   bool
	temporary string // folder
	began     time.Time

	recordMu sync.Mutex
	record   io.Writer

	processMu sync.Mutex
	processes []*exec.Cmd
	inputs    map[*exec.Cmd]io.Writer // their standard inputs
}

// failIf ends a play that can't run.
func failIf(err error, doing string) {
	if err != nil {
		panic(notRun(fmt.Sprintf("%s: %v", doing, err)))
	}
}

// now is the time since the play began.
func (p *play) now() time.Duration { return time.Since(p.began) }

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	p.recordMu.Lock()
	defer p.recordMu.Unlock()
	fmt.Fprintf(p.record, "%9.3f %s\n", p.now().Seconds(), line)
}

// write writes a file into the play's folder and returns its path.
func (p *play) write(name, text string) string {
	path := filepath.Join(p.temporary, name)
	failIf(os.WriteFile(path, []byte(text), 0o600), "write "+name)
	return path
}

// start starts a command line by the shell, as the operators do, in the repository's root. What it logs goes to a file
// of the play's folder.
func (p *play) start(name, commandLine string, env ...string) *exec.Cmd {
	log, err := os.OpenFile(filepath.Join(p.temporary, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	failIf(err, "log of "+name)
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", commandLine)
	command.Env = append(os.Environ(), "TMPDIR="+p.temporary)
	command.Env = append(command.Env, env...)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := command.StdinPipe()
	failIf(err, "input of "+name)
	failIf(command.Start(), "start "+name)
	p.inputs[command] = input
	p.processMu.Lock()
	p.processes = append(p.processes, command)
	p.processMu.Unlock()
	p.note("%s started, process %d", name, command.Process.Pid)
	return command
}

// kill kills a process and waits for its end.
func (p *play) kill(name string, command *exec.Cmd) {
	command.Process.Kill()
	command.Wait()
	p.note("%s killed", name)
}

// endProcesses ends all processes that the play has started.
func (p *play) endProcesses() {
	p.processMu.Lock()
	defer p.processMu.Unlock()
	for _, command := range p.processes {
		if command.ProcessState == nil {
			command.Process.Kill()
			command.Wait()
		}
	}
	p.processes = nil
}

// runOnce runs a command to its end and returns what it printed.
func (p *play) runOnce(commandLine string) string {
	output, err := exec.Command("/bin/sh", "-c", commandLine).CombinedOutput()
	p.note("%s: %s", commandLine, strings.TrimSpace(string(output)))
	failIf(err, commandLine)
	return string(output)
}

// nodeCommand is the value of run in the deploy file.
func nodeCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	failIf(err, "deploy file")
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, `run = "`); found {
			return strings.TrimSuffix(strings.TrimSpace(value), `"`)
		}
	}
	panic(notRun("the deploy file has no line of run"))
}

// freeAddress is a loopback address with a port that is free now.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	failIf(err, "free port")
	defer listener.Close()
	return listener.Addr().String()
}

// awaitReady waits until a node's GET /health/ready is answered 200.
func (p *play) awaitReady(addr string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.note("node at %s is ready", addr)
			return
		}
	}
	panic(notRun("the node at " + addr + " was not ready in 20 s"))
}

// sleepUntil waits for a time of the play.
func (p *play) sleepUntil(at time.Duration) { time.Sleep(at - p.now()) }

// request is one request of a client.
type request struct {
	id, method, verb, key string
	host                  string        // empty: service.internal
	expires               time.Duration // X-Expires-In-Ms
}

// outcome is what a client saw of a request.
type outcome struct {
	dialAt, sentAt, answeredAt time.Duration // of the play; 0: it did not happen
	status                     int
	body                       string
	err                        error
}

// answered reports whether there was a final answer.
func (o *outcome) answered() bool { return o.status != 0 }

// send sends a request over a new connection, and waits for its answer for longer than the client's time by patience.
func (p *play) send(addr string, r request, patience time.Duration) (o outcome) {
	o.dialAt = p.now()
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer conn.Close()
	if r.host == "" {
		r.host = "service.internal"
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: %s\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n"+
		"X-Expires-In-Ms: %d\r\n", r.verb, r.method, r.host, r.id, r.method, r.expires.Milliseconds())
	if r.key != "" {
		text += "Idempotency-Key: " + r.key + "\r\n"
	}
	if r.verb == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	if _, o.err = io.WriteString(conn, text+"\r\n"); o.err != nil {
		return o
	}
	o.sentAt = p.now()
	conn.SetReadDeadline(time.Now().Add(r.expires + patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		o.err = err
		return o
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.err = err
		return o
	}
	o.status, o.body, o.answeredAt = response.StatusCode, strings.TrimSpace(string(body)), p.now()
	return o
}

// isTimeout reports whether a client waited in vain.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
