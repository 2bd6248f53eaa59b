package settings

import (
	"io"
	"os"
	"reflect"
	"strconv"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/internal/check"
)

// maxFileBytes limits the size of the settings file. A file with 1,000 operator tokens
// has 150 kB.
const maxFileBytes = 1 << 20

// Problem is one error in a settings file.
type Problem = check.Problem

// Problems is the error that lists all problems of a settings file.
type Problems = check.Problems

// Load reads and validates a settings file. The error is Problems unless the
// file can't be read or has a syntax error.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, oops.Wrapf(err, "settings file")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return Settings{}, oops.Wrapf(err, "settings file %s", path)
	}
	if len(data) > maxFileBytes {
		return Settings{}, oops.Errorf("settings file %s is longer than %d bytes", path, maxFileBytes)
	}
	return Parse(data)
}

// Parse decodes and validates the content of a settings file. Missing values
// get their defaults.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	if err := check.Decode(data, &s); err != nil {
		return Settings{}, err
	}
	if s.AdvertisedPeerAddress == "" {
		s.AdvertisedPeerAddress = s.Listen.Peers
	}
	if err := s.validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Defaults returns settings that hold only the default values. They are not valid,
// because required values are missing.
func Defaults() Settings {
	var s Settings
	setDefaults(reflect.ValueOf(&s).Elem())
	return s
}

// setDefaults sets the fields that have the tag default, including those of nested
// structs.
func setDefaults(v reflect.Value) {
	for field, value := range v.Fields() {
		if value.Kind() == reflect.Struct {
			setDefaults(value)
		}
		if text, ok := field.Tag.Lookup("default"); ok {
			value.SetInt(mustParseInt(text))
		}
	}
}

// mustParseInt parses the integer in a field tag. It panics on an invalid tag, which
// the tests would find because they parse all tags.
func mustParseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(oops.Wrapf(err, "field tag"))
	}
	return n
}
