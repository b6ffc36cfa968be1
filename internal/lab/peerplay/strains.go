package peerplay

import (
	"fmt"
	"runtime"

	"robincart/internal/lab/peers"
	"robincart/internal/lab/standin"
)

// startStrains starts the plan's straining clients and busy processes, each kind as processes of their own.
func (p *play) startStrains(options Options) error {
	if err := p.pinNode(); err != nil {
		return err
	}
	if len(p.plan.Strains) > 0 {
		spec := peers.StrainSpec{
			Addr: p.node.Addr, TimeLeft: clientTime, Method: safeMethod, Clients: map[peers.StrainKind]int{},
		}
		for _, strain := range p.plan.Strains {
			spec.Clients[strain.Kind] += strain.Clients
		}
		if err := p.startStrain(options, spec, otherCores()); err != nil {
			return err
		}
	}
	for range p.plan.Busy {
		if err := p.startStrain(options, peers.StrainSpec{Busy: true}, []int{nodeCore()}); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) startStrain(options Options, spec peers.StrainSpec, cores []int) error {
	process, end, err := peers.StartStrainProcess(options.StrainProgram, spec)
	if err != nil {
		return fmt.Errorf("straining clients: %w", err)
	}
	p.strainEnds = append(p.strainEnds, end)
	return standin.PinProcess(process.Pid, cores...)
}

func (p *play) endStrains() {
	for _, end := range p.strainEnds {
		end()
	}
}

// pinNode keeps the node's process on its core, if it has one.
func (p *play) pinNode() error {
	if !p.plan.OneCore {
		return nil
	}
	return standin.PinProcess(p.node.Pid(), nodeCore())
}

// nodeCore is the core of a node that has one of its own.
func nodeCore() int { return runtime.NumCPU() - 1 }

// otherCores are all other cores, or the only one.
func otherCores() []int {
	cores := []int{0}
	for core := 1; core < nodeCore(); core++ {
		cores = append(cores, core)
	}
	return cores
}
