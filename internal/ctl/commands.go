package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/operator"
)

func (a *app) addConfig(k *kingpin.Application) {
	group := k.Command("config", "Reads and patches the configuration.")
	get := group.Command("get", "Prints the configuration that the node has in force.")
	get.Action(a.run(a.configGet))

	var base uint64
	var file string
	patch := group.Command("patch", "Applies a JSON merge patch to the configuration.")
	patch.Flag("base", "Number of the configuration that the patch was made against.").Required().Uint64Var(&base)
	patch.Flag("file", "File with the patch, - for standard input.").Default("-").StringVar(&file)
	a.identityFlag(patch)
	patch.Action(a.run(func(ctx context.Context) error { return a.configPatch(ctx, base, file) }))
}

func (a *app) configGet(ctx context.Context) error {
	var c config.Versioned
	if err := a.client.get(ctx, "/v1/configuration", &c); err != nil {
		return err
	}
	return a.print(c, func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "configuration %d\n", c.Number); err != nil {
			return err
		}
		return writeIndented(w, c.Document)
	})
}

func (a *app) configPatch(ctx context.Context, base uint64, file string) error {
	merge, err := a.readPatch(file)
	if err != nil {
		return err
	}
	patch := config.Patch{Base: base, Identity: a.identity, Author: a.author, Merge: merge}
	return a.change(ctx, "/v1/configuration/patches", patch)
}

func (a *app) readPatch(file string) (json.RawMessage, error) {
	in := a.in
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "Name an existing file with --file.", "patch")
		}
		defer func() { _ = opened.Close() }()
		in = opened
	}
	data, err := io.ReadAll(io.LimitReader(in, config.MaxPatchBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Make the file readable.", "patch")
	}
	if !json.Valid(data) {
		return nil, errs.New(errs.Invalid, "Write the patch as a JSON object.", "patch is not JSON")
	}
	return data, nil
}

// change sends a command that makes a new configuration and prints its number.
func (a *app) change(ctx context.Context, path string, body any) error {
	var accepted operator.Accepted
	if err := a.client.post(ctx, path, body, &accepted); err != nil {
		return a.withIdentity(err)
	}
	return a.print(accepted, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "accepted as configuration %d\n", accepted.Number)
		return err
	})
}

// withIdentity names the identity with which a change of unknown outcome has to be repeated.
func (a *app) withIdentity(err error) error {
	if ExitCode(err) != ExitOutcomeUnknown {
		return err
	}
	return errs.Wrap(err, errs.OutcomeUnknown, "Repeat the command with --identity "+a.identity+".", "the outcome is unknown")
}

func (a *app) addZone(k *kingpin.Application) {
	group := k.Command("zone", "Takes availability zones out of service and back in.")
	var zone string
	var force bool
	out := group.Command("out", "Takes a zone out of service: no new work after a few seconds.")
	out.Arg("zone", "Name of the zone.").Required().StringVar(&zone)
	out.Flag("force", "Take the zone out although the others lack slots.").BoolVar(&force)
	a.identityFlag(out)
	out.Action(a.run(func(ctx context.Context) error { return a.setZone(ctx, zone, config.ZoneOut, force) }))

	in := group.Command("in", "Takes a zone back into service, paced by the cold start of its targets.")
	in.Arg("zone", "Name of the zone.").Required().StringVar(&zone)
	a.identityFlag(in)
	in.Action(a.run(func(ctx context.Context) error { return a.setZone(ctx, zone, config.ZoneIn, false) }))
}

func (a *app) setZone(ctx context.Context, zone string, state config.ZoneState, force bool) error {
	body := operator.ZoneCommand{State: state, Author: a.author, Identity: a.identity, Force: force}
	return a.change(ctx, "/v1/availability-zones/"+url.PathEscape(zone)+"/state", body)
}

func (a *app) addNode(k *kingpin.Application) {
	group := k.Command("node", "Handles single nodes.")
	var name string
	var hostIsOff bool
	revoke := group.Command("revoke", "Declares that the host of a node is off, so that others may take its slices.")
	revoke.Arg("name", "Name of the node.").Required().StringVar(&name)
	revoke.Flag("host-is-off", "Confirms that the host is off or the process has ended.").BoolVar(&hostIsOff)
	revoke.Action(a.run(func(ctx context.Context) error { return a.revoke(ctx, name, hostIsOff) }))
}

func (a *app) revoke(ctx context.Context, name string, hostIsOff bool) error {
	var revoked operator.Revoked
	body := operator.RevokeCommand{HostIsOff: hostIsOff, Author: a.author}
	if err := a.client.post(ctx, "/v1/nodes/"+url.PathEscape(name)+"/revoke", body, &revoked); err != nil {
		return err
	}
	return a.print(revoked, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "revoked %s\n", revoked.Node)
		return err
	})
}
