package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
)

// maxFileBytes bounds the settings file, which has less than 2 KB in practice.
const maxFileBytes = 64 << 10

// ReadFile reads and checks a settings file.
func ReadFile(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Name an existing file with --settings.", "settings")
	}
	if info.Size() > maxFileBytes {
		return nil, errs.New(errs.TooLarge, "Check that this is the settings file.", "%s: has %d bytes, more than %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Make the file readable.", "settings")
	}
	return Read(path, data)
}

// Read checks the settings in data; path is used in error messages.
func Read(path string, data []byte) (*Settings, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(path, err)
	}
	settings := defaults()
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&settings); err != nil {
		return nil, syntaxError(path, err)
	}
	if err := newValidator().Struct(settings); err != nil {
		return nil, fieldErrors(path, file, err)
	}
	return &settings, nil
}

func syntaxError(path string, err error) error {
	const remedy = "Correct the line; docs/settings.md lists all fields."
	var positioned yaml.Error
	if !errors.As(err, &positioned) || positioned.GetToken() == nil {
		return errs.Wrap(err, errs.Invalid, remedy, "%s", path)
	}
	position := positioned.GetToken().Position
	return errs.New(errs.Invalid, remedy, "%s:%d:%d: %s", path, position.Line, position.Column, positioned.GetMessage())
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	mustRegister(v, "hostport", isHostPort)
	mustRegister(v, "name", func(f validator.FieldLevel) bool { return config.ValidName(f.Field().String()) })
	return v
}

func mustRegister(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check); err != nil {
		panic("settings: " + err.Error())
	}
}

// isHostPort accepts an IP number with a port from 1 to 65535.
func isHostPort(f validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(f.Field().String())
	return err == nil && address.Port() != 0
}

// fieldErrors turns the validator's errors into one line each with the position of the field.
func fieldErrors(path string, file *ast.File, err error) error {
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return errs.Wrap(err, errs.Internal, "Report this fault.", "%s", path)
	}
	lines := make([]error, 0, len(invalid))
	for _, field := range invalid {
		_, name, _ := strings.Cut(field.Namespace(), ".")
		lines = append(lines, fmt.Errorf("%s:%d: %s: %s", path, lineOf(file, name), name, explain(field)))
	}
	return errs.Join(errs.Invalid, "Correct the named fields; docs/settings.md describes them.", lines...)
}

// lineOf returns the line of a field, or of the nearest enclosing field that the file has.
func lineOf(file *ast.File, field string) int {
	for field != "" {
		path, err := yaml.PathString("$." + field)
		if err == nil {
			if node, err := path.FilterFile(file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 1
}

func explain(field validator.FieldError) string {
	switch field.Tag() {
	case "required", "required_if":
		return "is missing; set it"
	case "hostport":
		return fmt.Sprintf("must be an IP number and a port, such as %s, not %q", net.JoinHostPort("127.0.0.1", "7001"), field.Value())
	case "name":
		return fmt.Sprintf("must have 1 to 63 small letters, digits and hyphens, not %q", field.Value())
	case "oneof":
		return fmt.Sprintf("must be one of %s, not %q", strings.ReplaceAll(field.Param(), " ", ", "), field.Value())
	case "min":
		return fmt.Sprintf("must have at least %s characters", field.Param())
	case "max":
		return fmt.Sprintf("must have at most %s characters or entries", field.Param())
	case "gt":
		return fmt.Sprintf("must be more than %s, not %v", field.Param(), field.Value())
	case "gte":
		return fmt.Sprintf("must be at least %s, not %v", field.Param(), field.Value())
	case "lte":
		return fmt.Sprintf("must be at most %s, not %v", field.Param(), field.Value())
	}
	return "fails the check " + field.Tag()
}
