package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
)

// errCut is returned by a watch's notify after a message that was cut.
var errCut = errors.New("the message was cut")

// spoiler cuts messages of watches. A part of them ends the watch; after the other part the watch stays open and
// silent.
type spoiler struct {
	share  float64 // of the messages
	random *rand.Rand
}

// SpoilMessages cuts a share of the messages of watches from now on, at places that are drawn from a seed. A share of 0
// ends that.
func (d *Discovery) SpoilMessages(share float64, seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spoiler = nil
	if share > 0 {
		d.spoiler = &spoiler{share: share, random: rand.New(rand.NewPCG(seed, 0))}
	}
}

// spoils draws whether the next message is cut.
func (s *spoiler) spoils() bool { return s != nil && s.random.Float64() < s.share }

// writeCut writes the first bytes of a message as a part of its chunk, and records what the node is notified of by
// them: the entries that are whole. The mutex is held.
func (w *watch) writeCut(text []byte, members []Member) error {
	d := w.listener.discovery
	cut := d.spoiler.random.IntN(len(text) + 1)
	silent := d.spoiler.random.IntN(2) == 0
	w.listener.record(wholeMembers(text[:cut], members), false)
	if _, err := fmt.Fprintf(w.conn, "%x\r\n%s", len(text), text[:cut]); err != nil {
		return err
	}
	if !silent {
		return errCut
	}
	*w.listener.conns[w.conn] = connMuted
	return errMuted
}

// wholeMembers are the members whose entries are whole in a part of a message.
func wholeMembers(part []byte, members []Member) []Member {
	var whole []Member
	for _, m := range members {
		entry, err := json.Marshal(m)
		if err == nil && bytes.Contains(part, entry) {
			whole = append(whole, m)
		}
	}
	return whole
}
