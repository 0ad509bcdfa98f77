package ctl

import (
	"fmt"
	"strconv"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/disklog"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

type folderCmd struct {
	cli     *cli
	Restore string `long:"restore" description:"generation to put in force again, for a group that has lost its quorum for good" value-name:"GENERATION"`
	Last    string `long:"lose-after" description:"with --restore: the last entry that can be read, as listed; what followed is lost" value-name:"INDEX"`
	Args    struct {
		Dir string `positional-arg-name:"DIR" description:"data folder of a control host whose process is stopped"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *folderCmd) Execute([]string) error {
	f := disklog.Folder{Dir: x.Args.Dir}
	if x.Restore != "" {
		return x.restore(f)
	}
	all, err := f.Inspect()
	if err != nil {
		return err
	}
	rows := make([]generationRow, 0, len(all))
	for _, g := range all {
		row := generationRow{Generation: g.Number, InForce: g.InUse, Node: g.Identity.Node, Term: g.HardState.Term, Commit: g.HardState.Commit, Last: g.Last()}
		if g.Damage != nil {
			row.Damage = g.Damage.Error()
		}
		rows = append(rows, row)
	}
	return x.cli.print(rows, func() { x.cli.generations(rows) })
}

// generationRow is one log of a data folder.
type generationRow struct {
	Generation uint64           `json:"generation"`
	InForce    bool             `json:"inForce"`
	Node       consensus.NodeID `json:"node"`
	Term       uint64           `json:"term"`
	Commit     uint64           `json:"commit"`
	Last       uint64           `json:"last"` // last entry that can be read
	Damage     string           `json:"damage,omitempty"`
}

func (c *cli) generations(all []generationRow) {
	c.table("GENERATION\tNODE\tTERM\tCOMMITTED\tREADABLE TO\tSTATE", func(add func(string, ...any)) {
		for _, g := range all {
			state := "set aside"
			if g.InForce {
				state = "in force"
			}
			if g.Damage != "" {
				state += ": " + g.Damage
			}
			add("%d\t%d\t%d\t%d\t%d\t%s", g.Generation, g.Node, g.Term, g.Commit, g.Last, state)
		}
	})
	for _, g := range all {
		if !g.InForce && g.Last > 0 {
			fmt.Fprintf(c.out, "\nOnly if the group has lost its quorum for good: --restore %d --lose-after %d puts generation %d in force.\n"+
				"Changes acknowledged after entry %d are lost unless another host with a vote holds them. Look at all hosts first.\n", g.Generation, g.Last, g.Generation, g.Last)
		}
	}
}

func (x *folderCmd) restore(f disklog.Folder) error {
	generation, err := strconv.ParseUint(x.Restore, 10, 64)
	if err != nil {
		return oops.Errorf("--restore %q is not the number of a generation", x.Restore)
	}
	last, err := strconv.ParseUint(x.Last, 10, 64)
	if err != nil {
		return oops.Errorf("--lose-after %q is not an index: list the folder and give the index up to which the generation can be read", x.Last)
	}
	if err := f.Restore(generation, last); err != nil {
		return err
	}
	fmt.Fprintf(x.cli.out, "generation %d is in force up to entry %d; start the host's process\n", generation, last)
	return nil
}
