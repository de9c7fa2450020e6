package ctl

import (
	"context"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronvane/citronvane/internal/decision"
	"github.com/citronvane/citronvane/internal/errs"
)

// addDecision adds the command that explains where a node on the users' platform would send a request.
func (a *app) addDecision(k *kingpin.Application) {
	var target, method, id string
	var key int
	route := k.Command("route", "Says where a node on the users' platform would send a request now, and why. Sends nothing. --node is the node's metrics address. Example: citronctl --node 10.1.0.35:9464 route http://catalogue/items/5")
	route.Arg("url", "URL of the request.").Required().StringVar(&target)
	route.Flag("method", "Method of the request.").Default("GET").StringVar(&method)
	route.Flag("key", "Key of the request, for a keyed service.").Default("-1").IntVar(&key)
	route.Flag("id", "Identity of the request, which decides between weighted services.").StringVar(&id)
	route.Action(a.run(func(ctx context.Context) error {
		u, err := url.Parse(target)
		if err != nil || u.Host == "" {
			return errs.New(errs.Invalid, "Give the URL with scheme and host, for example http://catalogue/items/5.", "url %q", target)
		}
		query := url.Values{"host": {u.Host}, "path": {u.RequestURI()}, "method": {method}, "id": {id}}
		if key >= 0 {
			query.Set("key", strconv.Itoa(key))
		}
		var d decision.Decision
		if err := a.client.get(ctx, decision.Path+"?"+query.Encode(), &d); err != nil {
			return err
		}
		return a.print(d, func(w io.Writer) error { return writeDecision(w, &d) })
	}))
}

func writeDecision(w io.Writer, d *decision.Decision) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	p := &printer{w: t}
	p.printf("asked node\t%s (%s)\nroute\t%s\nservice\t%s\n", d.Node, orDash(d.Zone), orDash(d.Route), orDash(d.Service))
	if d.Key != nil {
		p.printf("key\t%d\n", *d.Key)
	}
	if d.Refused {
		p.printf("refused\t%s\n", d.Reason)
	} else {
		p.printf("host\t%s\nbecause\t%s\n", d.Host, d.Reason)
	}
	if len(d.Options) > 0 {
		p.printf("\nTARGET\tZONE\tSHARE\tWEIGHT\tCOST MS\tCROSS-ZONE MS\tWAIT MS\tSERVICE MS\tOUTSTANDING\tSLOTS\tREPORT\n")
	}
	for _, o := range d.Options {
		report := "old"
		if o.Fresh {
			report = "fresh"
		}
		if o.EjectedMs > 0 {
			report = "ejected"
		}
		p.printf("%s\t%s\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%s\n", o.Host, o.Zone, o.Share, o.Weight, o.CostMs, o.CrossZoneMs, o.WaitMs, o.ServiceTimeMs, max(o.Outstanding, o.InFlight), o.Slots, report)
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}
