package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Whatever comes in whatever order: no more places than there are, nobody waits while a place is free, who is served has
// not waited beyond the patience, who is refused has, and the first of a queue goes first.
func TestPlacesHoldAndNobodyWaitsForNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{MaxServing: rapid.IntRange(1, 4).Draw(t, "serve"), MaxRejecting: rapid.IntRange(1, 3).Draw(t, "refuse"),
			MaxSlow: rapid.IntRange(0, 3).Draw(t, "slow"), MinSlowTime: 100, MaxWait: 500, AdmitsPerStep: rapid.IntRange(0, 2).Draw(t, "pace"), Step: 50}
		g := New(c)
		type member struct {
			Member
			regular bool
			came    time.Duration
			is      Verdict
			in      bool
			slow    bool
			slowAt  time.Duration
		}
		all := make([]*member, 14)
		for i := range all {
			all[i] = &member{regular: i%2 == 0}
			all[i].Owner = all[i]
		}
		now := time.Duration(0)
		first := func(regular bool) *member { // who has waited longest of a kind
			var out *member
			for _, m := range all {
				if m.in && m.is == Wait && m.regular == regular && (out == nil || m.came < out.came) {
					out = m
				}
			}
			return out
		}
		var let []time.Duration // when others were let in
		lets := func(since time.Duration) (n int) {
			for _, at := range let {
				if at > since {
					n++
				}
			}
			return n
		}
		drain := func() {
			for {
				regular, other := first(true), first(false)
				x, v := g.Next(now)
				if x == nil {
					break
				}
				m := x.Owner.(*member)
				assert.True(t, m == regular || m == other, "the first of its queue")
				assert.Equal(t, v == Reject, now-m.came > c.MaxWait)
				if m.is = v; v == Serve && !m.regular {
					let = append(let, now)
				}
			}
		}
		count := func() (served, refused, slow, wait int) {
			for _, m := range all {
				switch {
				case !m.in:
				case m.is == Serve:
					served++
					if m.slow {
						slow++
					}
				case m.is == Reject:
					refused++
				default:
					wait++
				}
			}
			return
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now++ // no two come at once
			m := all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				if !m.in {
					m.in, m.came, m.is = true, now, g.Arrive(&m.Member, m.regular, now)
					if m.is == Serve && !m.regular {
						let = append(let, now)
					}
				}
			case 2:
				g.Leave(&m.Member)
				m.in, m.slow = false, false
				assert.True(t, m.Absent())
			case 3:
				if m.in && m.is == Serve && !m.slow {
					_, _, slow, _ := count()
					out := g.MarkSlow(&m.Member, now)
					var oldest *member
					for _, x := range all {
						if x.in && x.slow && (oldest == nil || x.slowAt < oldest.slowAt) {
							oldest = x
						}
					}
					switch {
					case slow < c.MaxSlow:
						assert.Nil(t, out)
						m.slow, m.slowAt = true, now
					case oldest == nil || now-oldest.slowAt < c.MinSlowTime:
						assert.Same(t, &m.Member, out)
					default:
						assert.Same(t, &oldest.Member, out)
						oldest.slow, m.slow, m.slowAt = false, true, now
					}
				} else if m.slow {
					g.MarkComplete(&m.Member)
					m.slow = false
				}
			case 4:
				now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pass"))
			}
			drain()
			served, refused, slow, wait := count()
			assert.Equal(t, g.ServingCount(), served)
			assert.Equal(t, g.WaitingCount(), wait)
			assert.LessOrEqual(t, served, c.MaxServing)
			assert.LessOrEqual(t, slow, c.MaxSlow)
			for _, x := range all {
				if x.in && x.is == Wait && now-x.came <= c.MaxWait && (x.regular || c.AdmitsPerStep == 0) {
					// Behind one that has waited too long and can't be told yet nobody is let in.
					assert.True(t, served == c.MaxServing || refused == c.MaxRejecting, "nobody waits beside a free place")
				}
			}
			if n := lets(now - c.Step); c.AdmitsPerStep > 0 {
				assert.LessOrEqual(t, n, 2*c.AdmitsPerStep, "others let in within a step and at its edges")
			}
			for _, x := range all {
				if x.in && x.is == Wait && now-x.came > c.MaxWait {
					assert.GreaterOrEqual(t, refused, c.MaxRejecting, "who has waited long enough is told as soon as there is a place for that")
				}
			}
		}
	})
}

// A wave must not stop those at work: they get three places of four while both wait.
func TestRegularsGoAheadOfAWaveAndDoNotShutItOut(t *testing.T) {
	g := New(Config{MaxServing: 1, MaxWait: time.Hour})
	all := make([]Member, 80)
	for i := range all {
		g.Arrive(&all[i], i%2 == 1, 0)
	}
	regulars := 0
	g.Leave(&all[0])
	for range 40 {
		m, v := g.Next(1)
		assert.Equal(t, Serve, v)
		for i := range all {
			if m == &all[i] && i%2 == 1 {
				regulars++
			}
		}
		g.Leave(m)
	}
	assert.Equal(t, 30, regulars)
}
