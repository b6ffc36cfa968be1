package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"robincart/internal/lab/apiserver"
)

// scriptHelp lists the commands of a clusterScript.
const scriptHelp = `roll             replace the oldest pod          scale N           so many pods
evict POD        end one and start another       cordon N, leave N machine N takes no pods; or they have to leave it
uncordon N       machine N as before             pods              those that live
break            end all watches                 replay            the last 50 events of pods and slices once more
compact          forget the history              hang 2s           answer nothing for a while
limit 20         the next requests get 429       fail 20           they get 500
backup, restore  keep the state; go back to it   help`

const (
	replayedEvents = 50 // of each resource
	maxFailures    = 1000
	maxHang        = time.Minute
)

// clusterScript carries out commands on a scripted cluster, a line each.
type clusterScript struct {
	cluster *apiserver.Cluster
	out     io.Writer
}

// run carries out the lines of the input until the context ends, and replaces a pod at each interval (0: never). The
// end of the input leaves the cluster as it is.
func (c *clusterScript) run(ctx context.Context, rollInterval time.Duration, in io.Reader) error {
	lines := make(chan string)
	// A read of standard input can't be interrupted: the goroutine ends with the process, if it waits in one.
	go sendLines(ctx, in, lines)
	var roll <-chan time.Time
	if rollInterval > 0 {
		ticker := time.NewTicker(rollInterval)
		defer ticker.Stop()
		roll = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-roll:
			c.cluster.Roll()
		case line := <-lines:
			if err := c.execute(ctx, line); err != nil {
				fmt.Fprintln(c.out, err)
			}
		}
	}
}

func sendLines(ctx context.Context, in io.Reader, lines chan<- string) {
	for scanner := bufio.NewScanner(in); scanner.Scan(); {
		select {
		case lines <- scanner.Text():
		case <-ctx.Done():
			return
		}
	}
}

// execute carries out one line.
func (c *clusterScript) execute(ctx context.Context, line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return nil
	}
	name, argument := words[0], ""
	if len(words) > 1 {
		argument = words[1]
	}
	switch name {
	case "evict":
		if !c.cluster.Evict(argument) {
			return fmt.Errorf("no pod %q", argument)
		}
		return nil
	case "hang":
		return c.hang(ctx, argument)
	case "scale", "cordon", "leave", "uncordon", "limit", "fail":
		return c.executeWithNumber(name, argument)
	}
	return c.executeAlone(name)
}

// executeWithNumber carries out a command that takes a number.
func (c *clusterScript) executeWithNumber(name, argument string) error {
	limit := maxFailures
	switch name {
	case "scale":
		limit = maxPods
	case "cordon", "leave", "uncordon":
		limit = c.cluster.Nodes - 1
	}
	number, err := strconv.Atoi(argument)
	if err != nil || number < 0 || number > limit {
		return fmt.Errorf("%s takes a number up to %d, not %q", name, limit, argument)
	}
	switch name {
	case "scale":
		c.cluster.Scale(number)
	case "cordon":
		c.cluster.Cordon(number, true, false)
	case "leave":
		c.cluster.Cordon(number, true, true)
	case "uncordon":
		c.cluster.Cordon(number, false, false)
	case "limit":
		c.cluster.API.Limit(number)
	case "fail":
		c.cluster.API.Fail(number)
	}
	return nil
}

// executeAlone carries out a command that takes no argument.
func (c *clusterScript) executeAlone(name string) error {
	api := c.cluster.API
	switch name {
	case "roll":
		c.cluster.Roll()
	case "pods":
		fmt.Fprintln(c.out, strings.Join(c.cluster.Live(), " "))
	case "break":
		api.BreakWatches()
	case "replay":
		api.Replay("pods", replayedEvents)
		api.Replay("endpointslices", replayedEvents)
	case "compact":
		api.Compact()
	case "backup":
		api.Backup()
	case "restore":
		api.Restore()
		c.cluster.Repair()
	case "help":
		fmt.Fprintln(c.out, scriptHelp)
	default:
		return fmt.Errorf("%q is not known; type help", name)
	}
	return nil
}

// hang has the API answer nothing for a while.
func (c *clusterScript) hang(ctx context.Context, argument string) error {
	duration, err := time.ParseDuration(argument)
	if err != nil {
		return err
	}
	if duration < 0 || duration > maxHang {
		return fmt.Errorf("hang takes a time up to 1m, not %q", argument)
	}
	c.cluster.API.Hang(true)
	defer c.cluster.API.Hang(false)
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
	return nil
}
