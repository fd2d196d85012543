package harness

import (
	"fmt"
	"regexp"
	"strings"
)

// settings are the fields that the platform fills into a settings template, by their dotted names.
type settings map[string]string

var (
	section = regexp.MustCompile(`\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/([A-Za-z.]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// render fills in a template. It supports values, and sections that are present if their value is.
func (s settings) render(template string) (string, error) {
	out := section.ReplaceAllStringFunc(template, func(m string) string {
		parts := section.FindStringSubmatch(m)
		if s[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	out = value.ReplaceAllStringFunc(out, func(m string) string { return s[value.FindStringSubmatch(m)[1]] })
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("the template uses a placeholder that the stand-in does not know: %s", out)
	}
	return out, nil
}
