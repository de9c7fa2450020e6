package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/operator"
)

func (a *app) addQueries(k *kingpin.Application) {
	status := k.Command("status", "Shows nodes, versions in force, owners and availability zones.")
	status.Action(a.run(a.status))

	var key, service string
	explain := k.Command("explain", "Says which node owns a key, why, and under which epoch.")
	explain.Arg("key", "The key.").Required().StringVar(&key)
	explain.Flag("service", "Service of the key; may be left out if there is one keyed service.").StringVar(&service)
	explain.Action(a.run(func(ctx context.Context) error { return a.explain(ctx, service, key) }))
}

func (a *app) status(ctx context.Context) error {
	var s operator.Status
	if err := a.client.get(ctx, "/v1/status", &s); err != nil {
		return err
	}
	return a.print(s, func(w io.Writer) error { return writeStatus(w, &s) })
}

func writeStatus(w io.Writer, s *operator.Status) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	p := &printer{w: t}
	p.printf("asked node\t%s\nrevision\t%d\nconfiguration\t%d\nlease\t%d ms\n\n", s.Node, s.Revision, s.Configuration, s.LeaseValidMS)
	p.printf("AVAILABILITY ZONE\tSTATE\n")
	for _, name := range slices.Sorted(maps.Keys(s.Zones)) {
		p.printf("%s\t%s\n", name, s.Zones[name].State)
	}
	p.printf("\nSERVICE\tSLICES\tUNOWNED\tMOVING\tMOST ON A NODE\n")
	for _, service := range s.Services {
		p.printf("%s\t%d\t%d\t%d\t%d\n", service.Service, service.Slices, service.Unowned, service.Moving, service.MostSlice)
	}
	p.printf("\nNODE\tSTATE\tZONE\tSERVICE\tTARGET\tSLICES\tCONFIGURATION\tLEASE\tGRANTORS\n")
	for i := range s.Nodes {
		p.node(&s.Nodes[i])
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// printer remembers the first error, so that a table is written without a check on each line.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) node(n *operator.NodeStatus) {
	configuration, lease, target := "-", "not reached", "up"
	if n.Reached {
		configuration = fmt.Sprint(n.Configuration)
		lease = "lapsed"
	}
	if n.LeaseValid {
		lease = "valid"
	}
	if n.TargetDown {
		target = "down"
	}
	p.printf("%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
		n.ID, n.State, n.AvailabilityZone, orDash(n.Service), target, n.Slices, configuration, lease, orDash(strings.Join(n.Grantors, " ")))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (a *app) explain(ctx context.Context, service, key string) error {
	if service == "" {
		only, err := a.onlyKeyedService(ctx)
		if err != nil {
			return err
		}
		service = only
	}
	var e operator.Explanation
	query := url.Values{"service": {service}, "key": {key}}
	if err := a.client.get(ctx, "/v1/explain?"+query.Encode(), &e); err != nil {
		return err
	}
	return a.print(e, func(w io.Writer) error { return writeExplanation(w, &e) })
}

func (a *app) onlyKeyedService(ctx context.Context) (string, error) {
	var c config.Versioned
	if err := a.client.get(ctx, "/v1/configuration", &c); err != nil {
		return "", err
	}
	var keyed []string
	for name, service := range c.Document.Services {
		if service.Kind == config.Keyed {
			keyed = append(keyed, name)
		}
	}
	if len(keyed) != 1 {
		return "", errs.New(errs.Invalid, "Name the service with --service.", "there are %d keyed services", len(keyed))
	}
	return keyed[0], nil
}

func writeExplanation(w io.Writer, e *operator.Explanation) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	p := &printer{w: t}
	p.printf("service\t%s (%s)\n", e.Service, e.Kind)
	if e.Kind == config.Keyed {
		p.printf("key\t%s\nslice\t%d\n", e.Key, e.Slice)
	}
	if e.Owner != nil {
		p.printf("owner\t%s\nepoch\t%d\nsince revision\t%d\n", e.Owner, e.Epoch, e.SinceVersion)
	}
	if e.Next != nil {
		p.printf("next owner\t%s\n", e.Next)
	}
	if e.Target != nil {
		p.printf("target\t%s\n", e.Target.Address)
	}
	p.printf("because\t%s\n", e.Reason)
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// print writes the result as JSON or through the text function.
func (a *app) print(result any, text func(w io.Writer) error) error {
	if a.output == "json" {
		return writeIndented(a.out, result)
	}
	return text(a.out)
}

func writeIndented(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
