// Package shim makes system calls of one process fail, come back short or late, and steps its wall clock, by a plan that may change while
// the process runs. The process runs under a tracer of its own, without special rights; nothing outside it is touched.
package shim

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Injection is what happens to a share of one call.
type Injection struct {
	Call   string        `json:"call"`
	Errors []string      `json:"errors,omitempty"` // one of them is returned, and the call is not made
	Short  bool          `json:"short,omitempty"`  // it is made with one byte, or one buffer
	Delay  time.Duration `json:"delay,omitempty"`  // it is made so much later
	Share  float64       `json:"share"`
	Folder string        `json:"folder,omitempty"` // only calls on files below it, by its absolute path
}

// Plan is what happens to a process from now on.
type Plan struct {
	Seed       uint64        `json:"seed"`
	Calls      []string      `json:"calls"` // all that the process is ever asked for: fixed at its start
	Injections []Injection   `json:"injections"`
	ClockStep  time.Duration `json:"clock_step"` // of the wall clock against the machine's
}

// call is one that can be injected into, with the errors that its manual page documents and that say nothing of the connection itself.
type call struct {
	number     uint64
	errors     []unix.Errno
	sizes      int  // the argument that holds a size, 0 for none
	socketOnly bool // the first argument is a descriptor, and only sockets are met, unless a folder is named
	path       bool // the second argument points to a file's path: it is met only with a folder
	file       bool // the first argument is a file's descriptor: it is met only with a folder
}

// calls by name. An error that says that a connection is broken is not here: it would have to be.
var calls = map[string]call{
	"accept4": {number: unix.SYS_ACCEPT4, errors: []unix.Errno{unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO,
		unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.EPERM}},
	"socket":      {number: unix.SYS_SOCKET, errors: []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}},
	"connect":     {number: unix.SYS_CONNECT, errors: []unix.Errno{unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENETUNREACH, unix.ENOBUFS, unix.EPERM}},
	"setsockopt":  {number: unix.SYS_SETSOCKOPT, errors: []unix.Errno{unix.ENOBUFS, unix.ENOMEM}, socketOnly: true},
	"epoll_ctl":   {number: unix.SYS_EPOLL_CTL, errors: []unix.Errno{unix.ENOMEM, unix.ENOSPC}},
	"epoll_wait":  {number: unix.SYS_EPOLL_WAIT, errors: []unix.Errno{unix.EINTR}},
	"epoll_pwait": {number: unix.SYS_EPOLL_PWAIT, errors: []unix.Errno{unix.EINTR}},
	"poll":        {number: unix.SYS_POLL, errors: []unix.Errno{unix.EINTR, unix.ENOMEM}},
	"ppoll":       {number: unix.SYS_PPOLL, errors: []unix.Errno{unix.EINTR, unix.ENOMEM}},
	"recvfrom":    {number: unix.SYS_RECVFROM, errors: []unix.Errno{unix.EINTR, unix.ENOMEM}, sizes: 3, socketOnly: true},
	"read":        {number: unix.SYS_READ, errors: []unix.Errno{unix.EINTR, unix.EIO, unix.ENOMEM}, sizes: 3, socketOnly: true},
	"write":       {number: unix.SYS_WRITE, errors: []unix.Errno{unix.EINTR, unix.EIO, unix.ENOSPC, unix.ENOBUFS, unix.ENOMEM}, sizes: 3, socketOnly: true},
	"writev":      {number: unix.SYS_WRITEV, errors: []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM}, sizes: 3, socketOnly: true},
	"openat":      {number: unix.SYS_OPENAT, errors: []unix.Errno{unix.EINTR, unix.EIO, unix.ENOSPC, unix.EMFILE, unix.ENFILE, unix.ENOMEM}, path: true},
	"renameat":    {number: unix.SYS_RENAMEAT, errors: []unix.Errno{unix.EIO, unix.ENOSPC, unix.ENOMEM}, path: true},
	"fsync":       {number: unix.SYS_FSYNC, errors: []unix.Errno{unix.EIO, unix.ENOSPC}, file: true},
}

// fileErrors are those that only files return: a socket that did would be broken for good.
var fileErrors = []string{"EIO", "ENOSPC"}

// errnos are the errors by name.
var errnos = func() map[string]unix.Errno {
	all := map[string]unix.Errno{}
	for _, c := range calls {
		for _, e := range c.errors {
			all[unix.ErrnoName(e)] = e
		}
	}
	return all
}()

// Check names each mistake of an injection.
func (i Injection) Check() error {
	c, known := calls[i.Call]
	if !known {
		names := []string{}
		for name := range calls {
			names = append(names, name)
		}
		slices.Sort(names)
		return fmt.Errorf("call %q is none of %v", i.Call, names)
	}
	var all []error
	for _, name := range i.Errors {
		if e, is := errnos[name]; !is || !slices.Contains(c.errors, e) {
			all = append(all, fmt.Errorf("%s is no error that %s may return here", name, i.Call))
		}
	}
	if (c.path || c.file) && i.Folder == "" {
		all = append(all, fmt.Errorf("%s is met in a folder only, and none is named", i.Call))
	}
	if c.socketOnly && i.Folder == "" && slices.ContainsFunc(i.Errors, func(name string) bool { return slices.Contains(fileErrors, name) }) {
		all = append(all, fmt.Errorf("%s returns %v in a folder only, and none is named", i.Call, fileErrors))
	}
	if i.Folder != "" && !filepath.IsAbs(i.Folder) {
		all = append(all, fmt.Errorf("the folder %q is no absolute path", i.Folder))
	}
	if i.Folder != "" && !c.path && !c.file && !c.socketOnly {
		all = append(all, fmt.Errorf("%s is no call on files", i.Call))
	}
	if i.Short && c.sizes == 0 {
		all = append(all, fmt.Errorf("%s has no length to be cut short", i.Call))
	}
	if i.Delay < 0 || i.Delay > time.Minute {
		all = append(all, fmt.Errorf("a delay of %v is not in 0 to a minute", i.Delay))
	}
	if !(i.Share > 0 && i.Share <= 1) {
		all = append(all, fmt.Errorf("a share of %v is not above 0 and at most 1", i.Share))
	}
	if len(i.Errors) == 0 && !i.Short && i.Delay == 0 {
		all = append(all, errors.New("neither errors nor short nor a delay: nothing would happen"))
	}
	return errors.Join(all...)
}

// Check names each mistake of a plan.
func (p *Plan) Check() error {
	var all []error
	for _, name := range p.Calls {
		if _, known := calls[name]; !known {
			all = append(all, fmt.Errorf("call %q is not known", name))
		}
	}
	for _, i := range p.Injections {
		all = append(all, i.Check())
		if !slices.Contains(p.Calls, i.Call) {
			all = append(all, fmt.Errorf("call %q is not among the plan's calls", i.Call))
		}
	}
	return errors.Join(all...)
}

// ReadPlan reads and checks a plan.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Write writes a plan, whole or not at all.
func (p *Plan) Write(path string) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
