package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Render returns the merged configuration as INI text that Load can read back, with each value's origin as a comment.
// The section Host is omitted when no file sets it. It may be called concurrently.
func (l *Loaded) Render() string {
	var b strings.Builder
	if l.hasHostSettings() {
		l.renderSection(&b, "Host", "Host", reflect.ValueOf(l.Process))
	}
	l.renderSite(&b)
	return b.String()
}

// RenderSite returns a site as INI text without origins. It may be called concurrently.
func RenderSite(site *Site) string {
	var b strings.Builder
	l := &Loaded{Site: site}
	l.renderSite(&b)
	return b.String()
}

func (l *Loaded) hasHostSettings() bool {
	for k := range l.Origins {
		if strings.HasPrefix(k, "Host.") {
			return true
		}
	}
	return false
}

func (l *Loaded) renderSite(b *strings.Builder) {
	v := reflect.ValueOf(*l.Site)
	for _, k := range unnamedSections {
		l.renderSection(b, k, k, v.FieldByName(k))
	}
	renderNamedSections(b, l, "Organisation", l.Site.Organisations)
	renderNamedSections(b, l, "Route", l.Site.Routes)
	renderNamedSections(b, l, "Rollout", l.Site.Rollouts)
	renderNamedSections(b, l, "Zone", l.Site.Zones)
}

func renderNamedSections[T any](b *strings.Builder, l *Loaded, kind string, sections map[string]T) {
	for _, n := range sortedNames(sections) {
		l.renderSection(b, kind+" "+n, kind, reflect.ValueOf(sections[n]))
	}
}

func (l *Loaded) renderSection(b *strings.Builder, section, kind string, v reflect.Value) {
	fmt.Fprintf(b, "[%s]\n", section)
	for i := range v.NumField() {
		key := v.Type().Field(i).Name
		if _, known := rules[kind+"."+key]; !known {
			continue
		}
		l.renderLine(b, key, fmt.Sprint(v.Field(i).Interface()), l.originComment(section+"."+key))
	}
	b.WriteByte('\n')
}

// renderLine writes a setting. An empty one is written as a comment only, since a comment on the same line would be
// read as its value.
func (l *Loaded) renderLine(b *strings.Builder, key, value, comment string) {
	if value == "" {
		fmt.Fprintf(b, "; %s is empty%s\n", key, comment)
		return
	}
	fmt.Fprintf(b, "%s = %s%s\n", key, value, comment)
}

func (l *Loaded) originComment(key string) string {
	if l.Origins == nil {
		return ""
	}
	o, given := l.Origins[key]
	if !given {
		return " ; default"
	}
	return fmt.Sprintf(" ; %s:%d", o.File, o.Line)
}

// Setting describes one key: the kind of its section, its default ("" if it has none) and the allowed values.
type Setting struct {
	Section string
	Key     string
	Default string
	Allowed string
}

// Settings returns every key that Load accepts, in the order in which Render writes them. It may be called
// concurrently.
func Settings() []Setting {
	var settings []Setting
	settings = append(settings, sectionSettings("Host", Process{LogLevel: defaultLogLevel})...)
	v := reflect.ValueOf(*Defaults())
	for _, k := range unnamedSections {
		settings = append(settings, sectionSettings(k, v.FieldByName(k).Interface())...)
	}
	settings = append(settings, sectionSettings("Organisation", defaultOrganisation(""))...)
	settings = append(settings, sectionSettings("Route", defaultRoute("", Defaults().Limits))...)
	settings = append(settings, sectionSettings("Rollout", defaultRolloutLimits(""))...)
	return append(settings, sectionSettings("Zone", DefaultZone(""))...)
}

func sectionSettings(kind string, value any) []Setting {
	v := reflect.ValueOf(value)
	var settings []Setting
	for i := range v.NumField() {
		key := v.Type().Field(i).Name
		if r, known := rules[kind+"."+key]; known {
			settings = append(settings, Setting{Section: kind, Key: key, Default: fmt.Sprint(v.Field(i).Interface()), Allowed: r.allowed})
		}
	}
	return settings
}
