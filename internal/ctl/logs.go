package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/explain"
)

// addLogs adds the commands that read logs of nodes. They call no node.
func (a *app) addLogs(k *kingpin.Application) {
	logs := k.Command("logs", "Explains from the logs of nodes. Example: citronctl logs request 914c125d0476b67c *.log")
	var id, service string
	var key int
	var files []string
	request := logs.Command("request", "What became of a request, and what to do.")
	request.Arg("id", "Identity of the request.").Required().StringVar(&id)
	request.Arg("files", "Log files of all nodes; standard input if none.").StringsVar(&files)
	request.Action(a.run(func(context.Context) error {
		return a.withLogs(files, func(r io.Reader) error { return a.explainRequest(r, id) })
	}))
	owner := logs.Command("key", "Who owns a key, since when, and why.")
	owner.Arg("key", "Key.").Required().IntVar(&key)
	owner.Flag("service", "Service of the key.").Required().StringVar(&service)
	owner.Arg("files", "Log files of all nodes; standard input if none.").StringsVar(&files)
	owner.Action(a.run(func(context.Context) error {
		return a.withLogs(files, func(r io.Reader) error { return a.explainKey(r, service, key) })
	}))
}

// withLogs calls use with the contents of the files.
func (a *app) withLogs(files []string, use func(io.Reader) error) error {
	if len(files) == 0 {
		return use(a.in)
	}
	var parts []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errs.Wrap(err, errs.Invalid, "Check the name of the log file.", "logs")
		}
		defer func() { _ = f.Close() }() // It was only read.
		parts = append(parts, f, strings.NewReader("\n"))
	}
	return use(io.MultiReader(parts...))
}

func (a *app) explainRequest(logs io.Reader, id string) error {
	found, err := explain.Request(logs, id)
	if err != nil {
		return err
	}
	for i := range found {
		_, _ = fmt.Fprintln(a.out, found[i].String())
		if action := found[i].Action(); action != "" {
			_, _ = fmt.Fprintln(a.out, "  "+action)
		}
	}
	return nil
}

func (a *app) explainKey(logs io.Reader, service string, key int) error {
	found, err := explain.Key(logs, service, key)
	if err != nil {
		return err
	}
	for i := range found {
		state := "owned"
		if found[i].Planned() {
			state = "move planned"
		}
		_, _ = fmt.Fprintf(a.out, "%s: %s\n", state, found[i].String())
	}
	return nil
}
