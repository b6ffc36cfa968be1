package shim

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"time"
)

// maxDelay bounds an injection's delay.
const maxDelay = time.Minute

// mistakes collects what is wrong with a plan.
type mistakes []error

func (m *mistakes) addIf(wrong bool, format string, args ...any) {
	if wrong {
		*m = append(*m, fmt.Errorf(format, args...))
	}
}

// Check returns an error that names each mistake of an injection.
func (i Injection) Check() error {
	if err := checkCall(i.Call); err != nil {
		return err
	}
	c := calls[i.Call]
	var wrong mistakes
	for _, name := range i.Errors {
		wrong.addIf(!c.returns(name), "%s is no error that %s may return here", name, i.Call)
	}
	wrong.addIf(c.filesOnly() && i.Folder == "", "%s fails in a folder only, and none is named", i.Call)
	wrong.addIf(c.socketsOnly && i.Folder == "" && slices.ContainsFunc(i.Errors, isFileError),
		"%s returns %v in a folder only, and none is named", i.Call, fileErrors)
	wrong.addIf(i.Folder != "" && !filepath.IsAbs(i.Folder), "the folder %q is no absolute path", i.Folder)
	wrong.addIf(i.Folder != "" && !c.filesOnly() && !c.socketsOnly, "%s is no call on files", i.Call)
	wrong.addIf(i.Short && !c.hasSize, "%s has no length to be cut short", i.Call)
	wrong.addIf(i.Delay < 0 || i.Delay > maxDelay, "a delay of %v is not in 0 to a minute", i.Delay)
	wrong.addIf(!(i.Share > 0 && i.Share <= 1), "a share of %v is not above 0 and at most 1", i.Share)
	wrong.addIf(len(i.Errors) == 0 && !i.Short && i.Delay == 0,
		"neither errors nor short nor a delay: nothing would happen")
	return errors.Join(wrong...)
}

// Check returns an error that names each mistake of a plan.
func (p *Plan) Check() error {
	var wrong mistakes
	for _, name := range p.Calls {
		if err := checkCall(name); err != nil {
			wrong = append(wrong, err)
		}
	}
	for _, injection := range p.Injections {
		wrong = append(wrong, injection.Check())
		wrong.addIf(!slices.Contains(p.Calls, injection.Call), "call %q is not among the plan's calls", injection.Call)
	}
	return errors.Join(wrong...)
}
