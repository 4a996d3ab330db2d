package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Render returns the merged configuration as INI text that Load reads back, with each value's origin as a comment.
// The section Host is left out when no file has it. It may be called concurrently.
func (l *Loaded) Render() string {
	var b strings.Builder
	if l.hasHost() {
		l.section(&b, "Host", "Host", reflect.ValueOf(l.Process))
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

func (l *Loaded) hasHost() bool {
	for k := range l.Origins {
		if strings.HasPrefix(k, "Host.") {
			return true
		}
	}
	return false
}

func (l *Loaded) renderSite(b *strings.Builder) {
	v := reflect.ValueOf(*l.Site)
	for _, k := range plainSections {
		l.section(b, k, k, v.FieldByName(k))
	}
	sections(b, l, "Organisation", l.Site.Organisations)
	sections(b, l, "Route", l.Site.Routes)
	sections(b, l, "Rollout", l.Site.Rollouts)
	sections(b, l, "Zone", l.Site.Zones)
}

func sections[T any](b *strings.Builder, l *Loaded, kind string, all map[string]T) {
	for _, n := range sortedNames(all) {
		l.section(b, kind+" "+n, kind, reflect.ValueOf(all[n]))
	}
}

func (l *Loaded) section(b *strings.Builder, section, kind string, v reflect.Value) {
	fmt.Fprintf(b, "[%s]\n", section)
	for i := range v.NumField() {
		key := v.Type().Field(i).Name
		if _, known := rules[kind+"."+key]; !known {
			continue
		}
		l.line(b, key, fmt.Sprint(v.Field(i).Interface()), l.comment(section+"."+key))
	}
	b.WriteByte('\n')
}

// line writes a setting; an empty one only as a comment, since a comment behind it would be read as its value.
func (l *Loaded) line(b *strings.Builder, key, value, comment string) {
	if value == "" {
		fmt.Fprintf(b, "; %s is empty%s\n", key, comment)
		return
	}
	fmt.Fprintf(b, "%s = %s%s\n", key, value, comment)
}

func (l *Loaded) comment(key string) string {
	if l.Origins == nil {
		return ""
	}
	o, given := l.Origins[key]
	if !given {
		return " ; default"
	}
	return fmt.Sprintf(" ; %s:%d", o.File, o.Line)
}

// Setting describes one key: the kind of its section, its default, "" when it has none, and what is allowed.
type Setting struct {
	Section string
	Key     string
	Default string
	Allowed string
}

// Settings returns every key that Load knows, in the order in which Render writes them.
// It may be called concurrently.
func Settings() []Setting {
	var all []Setting
	all = append(all, settings("Host", Process{LogLevel: defaultLogLevel})...)
	v := reflect.ValueOf(*Defaults())
	for _, k := range plainSections {
		all = append(all, settings(k, v.FieldByName(k).Interface())...)
	}
	all = append(all, settings("Organisation", freshOrganisation(""))...)
	all = append(all, settings("Route", freshRoute("", Defaults().Limits))...)
	all = append(all, settings("Rollout", freshRollout(""))...)
	return append(all, settings("Zone", DefaultZone(""))...)
}

func settings(kind string, value any) []Setting {
	v := reflect.ValueOf(value)
	var all []Setting
	for i := range v.NumField() {
		key := v.Type().Field(i).Name
		if r, known := rules[kind+"."+key]; known {
			all = append(all, Setting{Section: kind, Key: key, Default: fmt.Sprint(v.Field(i).Interface()), Allowed: r.allowed})
		}
	}
	return all
}
