package soak

import (
	"math/rand/v2"
	"time"

	"robincart/internal/lab/experiment"
)

// faultTemplate is a fault that may be drawn.
type faultTemplate struct {
	kind        experiment.FaultKind
	target      drawText
	minDuration time.Duration
	maxDuration time.Duration
	settings    drawText // further lines of the fault; nil: none
}

// drawText draws a text.
type drawText func(*rand.Rand) string

// oneOf draws one of several texts.
func oneOf(choices ...string) drawText {
	return func(r *rand.Rand) string { return choose(r, choices...) }
}

// The targets of faults, by the shares that may be drawn.
func serverShare(shares ...string) drawText { return share("servers:", shares) }
func nodeShare(shares ...string) drawText   { return share("nodes:", shares) }

// share draws a share of servers or nodes.
func share(prefix string, shares []string) drawText {
	return func(r *rand.Rand) string { return prefix + choose(r, shares...) }
}

// discovery is the target of its faults.
func discovery(*rand.Rand) string { return "discovery" }

const (
	millisecond = time.Millisecond
	second      = time.Second
)

// serverFaults are faults of servers and of the network before them.
var serverFaults = []faultTemplate{
	{experiment.FaultFreeze, serverShare("0.15", "0.25", "0.4"), second, 3200 * millisecond, nil},
	{experiment.FaultSlow, serverShare("0.15", "0.25"), second, 3 * second, oneOf("factor = 4", "factor = 10")},
	{experiment.FaultSilent, serverShare("0.1", "0.2"), second, 3 * second, oneOf("share = 0.5", "share = 1.0")},
	{experiment.FaultFail, serverShare("0.1", "0.2"), second, 2 * second, oneOf("share = 0.5", "share = 1.0")},
	{experiment.FaultResetBefore, serverShare("0.2"), second, 2 * second, oneOf("share = 0.5")},
	{experiment.FaultResetAfter, serverShare("0.2"), second, 2 * second, oneOf("share = 0.5")},
	{experiment.FaultDieMid, serverShare("0.2"), second, 2 * second, oneOf("share = 0.5")},
	{experiment.FaultSpoil, serverShare("0.2"), second, 2 * second, oneOf("share = 0.3")},
	{experiment.FaultRefuse, serverShare("0.15"), 500 * millisecond, 2 * second, nil},
	{experiment.FaultDrain, serverShare("0.15", "0.25"), 2 * second, 4 * second, oneOf(
		"answers = true",
		"answers = false",
	)},
	{experiment.FaultRestart, serverShare("0.15", "0.3"), 200 * millisecond, second, oneOf(
		"new_id = true",
		"new_id = false",
	)},
	{experiment.FaultMute, serverShare("0.15", "0.3"), second, 3 * second, nil},
	{experiment.FaultCut, serverShare("0.3", "0.6", "1"), 0, 0, nil},
	{experiment.FaultTrickle, serverShare("0.2"), second, 2 * second, oneOf(`by = "5ms"`, `by = "20ms"`)},
}

// nodeFaults are faults of nodes and their clients.
var nodeFaults = []faultTemplate{
	{experiment.FaultKill, nodeShare("0.1", "0.3"), 300 * millisecond, second, nil},
	{experiment.FaultStop, nodeShare("0.1", "0.25"), 200 * millisecond, second, nil},
	{experiment.FaultReload, nodeShare("0.3", "1"), 0, 0, nil},
	{experiment.FaultMisbehaving, nodeShare("0.2", "0.4"), 2 * second, 5 * second, nil},
}

// discoveryFaults are faults of discovery.
var discoveryFaults = []faultTemplate{
	{experiment.FaultGone, discovery, second, 4 * second, nil},
	{experiment.FaultLate, discovery, second, 3 * second, oneOf(`by = "500ms"`)},
	{experiment.FaultSilence, discovery, 0, 0, nil},
	{experiment.FaultResetWatches, discovery, 0, 0, nil},
	{experiment.FaultBusy, discovery, second, 3 * second, oneOf(`by = "20ms"`)},
}

// callFaults are faults of nodes' system calls and clocks.
var callFaults = []faultTemplate{
	{experiment.FaultErrno, nodeShare("0.5", "1"), second, 4 * second, oneOf(
		"call = \"epoll_wait\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"epoll_pwait\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"recvfrom\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"read\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"write\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"poll\"\nerrors = [\"EINTR\"]\nshare = 0.5",
		"call = \"accept4\"\n"+
			"errors = [\"ECONNABORTED\", \"ENFILE\", \"ENOBUFS\", \"ENOMEM\", \"ENETUNREACH\"]\nshare = 0.3",
		"call = \"socket\"\nerrors = [\"ENOBUFS\", \"ENFILE\", \"ENOMEM\"]\nshare = 0.3",
		"call = \"connect\"\nerrors = [\"EADDRNOTAVAIL\", \"ENETUNREACH\", \"ENOBUFS\"]\nshare = 0.3",
		"call = \"setsockopt\"\nerrors = [\"ENOBUFS\"]\nshare = 0.3",
	)},
	{experiment.FaultShort, nodeShare("0.5"), second, 2 * second, oneOf(
		"call = \"read\"\nshare = 0.3",
		"call = \"write\"\nshare = 0.3",
		"call = \"writev\"\nshare = 0.5",
	)},
	{experiment.FaultStall, nodeShare("0.3"), second, 3 * second, oneOf(
		"call = \"write\"\nby = \"100ms\"\nshare = 0.02",
		"call = \"connect\"\nby = \"150ms\"\nshare = 0.2",
	)},
	{experiment.FaultClock, nodeShare("0.5", "1"), 2 * second, 6 * second, oneOf(
		`by = "5s"`,
		`by = "-5s"`,
		`by = "1h"`,
		`by = "-1h"`,
	)},
}

// overlappingGroups lists the groups of which faults are drawn at each moment: three to five of the six, on average.
var overlappingGroups = [][]faultTemplate{
	serverFaults,
	serverFaults,
	nodeFaults,
	discoveryFaults,
	callFaults,
	callFaults,
}

// platformGroups lists the groups of PlatformText, of each of which one fault is drawn at each moment.
var platformGroups = [][]faultTemplate{
	{
		{experiment.FaultSpoilLists, discovery, second, 4 * second, oneOf("share = 0.3", "share = 0.7")},
		{experiment.FaultReconfigure, nodeShare("0.3", "0.6"), 600 * millisecond, 2500 * millisecond, oneOf(
			`by = "200ms"`,
			`by = "400ms"`,
		)},
	},
	{
		{experiment.FaultSignals, nodeShare("0.1", "0.25"), 200 * millisecond, second, nil},
		{experiment.FaultStop, nodeShare("0.1", "0.25"), 200 * millisecond, second, nil},
	},
	{
		{experiment.FaultClock, nodeShare("0.3", "0.6"), 500 * millisecond, 3 * second, oneOf(
			`by = "3s"`,
			`by = "-20s"`,
			`by = "-1h"`,
		)},
	},
}

// processFaults are the faults of which each seed has one kind, at all moments: several configurations in a row,
// successors that take over under load, processes that are paused, servers that operators ban at nodes, and a shortage
// of memory for reads, writes and watches.
var processFaults = []faultTemplate{
	{experiment.FaultReconfigure, nodeShare("0.3", "1"), 300 * millisecond, 2 * second, oneOf(
		`by = "150ms"`,
		`by = "700ms"`,
	)},
	{experiment.FaultReplace, nodeShare("0.2", "0.5"), 0, 0, nil},
	{experiment.FaultPause, nodeShare("0.3", "1"), second, 3 * second, oneOf(`by = "50ms"`, `by = "150ms"`)},
	{experiment.FaultBan, nodeShare("0.5", "1"), second, 3 * second, oneOf("share = 0.1", "share = 0.3")},
	{experiment.FaultErrno, nodeShare("0.5", "1"), second, 3 * second, oneOf(
		"call = \"read\"\nerrors = [\"ENOMEM\"]\nshare = 0.2",
		"call = \"write\"\nerrors = [\"ENOBUFS\", \"ENOMEM\"]\nshare = 0.2",
		"call = \"epoll_ctl\"\nerrors = [\"ENOMEM\", \"ENOSPC\"]\nshare = 0.3",
	)},
}

// stateFolderFaults are faults of the folder in which a node stores operators' commands.
var stateFolderFaults = []faultTemplate{
	{experiment.FaultErrno, nodeShare("0.5", "1"), second, 3 * second, oneOf(
		"call = \"openat\"\nerrors = [\"ENOSPC\", \"EIO\", \"ENFILE\"]\nfolder = \"state\"\nshare = 0.7",
		"call = \"write\"\nerrors = [\"ENOSPC\", \"EIO\"]\nfolder = \"state\"\nshare = 0.7",
		"call = \"fsync\"\nerrors = [\"EIO\"]\nfolder = \"state\"\nshare = 0.7",
		"call = \"renameat\"\nerrors = [\"EIO\", \"ENOSPC\"]\nfolder = \"state\"\nshare = 0.7",
	)},
}

// excluded lists the kinds that a seed with a process fault does not have. A node that is replaced shares its listener
// with its successor, which must outlive it; a process under a shim can't be paused.
var excluded = map[experiment.FaultKind][]experiment.FaultKind{
	experiment.FaultReplace: {experiment.FaultKill, experiment.FaultStop, experiment.FaultSignals},
	experiment.FaultPause: {
		experiment.FaultErrno,
		experiment.FaultShort,
		experiment.FaultStall,
		experiment.FaultClock,
	},
}
