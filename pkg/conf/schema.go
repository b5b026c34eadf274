package conf

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Schema returns the reference of all settings as Markdown. docs/settings.md is
// a copy of it.
func Schema() string {
	var b strings.Builder
	b.WriteString(`# Settings

Settings are JSON in camelCase. Unknown fields, repeated fields and nulls are
refused. A duration is a string with a unit, such as "250ms" or "1h30m0s".

## Inherited values

A node holds only what differs from its parent. Nodes are ` + "`/`, `/half`, `/half/service`" + `
and ` + "`/half/service/domain`" + `. A value that no node sets has its default.

| value | unit | minimum | maximum | default | meaning |
|---|---|---|---|---|---|
`)
	for _, f := range Fields() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", f.Name, f.Unit, f.Min, f.Max, f.Default, f.Doc)
	}
	fmt.Fprintf(&b, `
A service node also sets %s (at least 1, never reused) and %s (an IP
address with a port), which are not inherited. %s is at most slots x
(1 + %s).

## Objects

`, "`serviceId`", "`address`", "`coldSlots`", "`queuePerSlot`")
	writeObjectTable(&b, "node", Node{}, "Name: the path.")
	writeObjectTable(&b, "domain", Domain{}, "Marks: `in`, `out`. An entry has `name`, `data`, `peer` and `admin`.")
	writeObjectTable(&b, "server", Server{}, "Marks: `in`, `leaving`, `removed`. `since` is the time of the mark.")
	writeObjectTable(&b, "key", Key{}, "The secret is 16, 24 or 32 bytes in base64.")
	fmt.Fprintf(&b, `## Rules for changes

- Another service may use the address of a server %s after the server was marked
  removed. Until then the record must stay, with the same address and service.
- When a service node changes or clears its address, it records the old one in
  released. Another service may use the address %s later. Only then may the node
  be deleted.
- The since of a removal or release is within %s of the client's clock.
- A new key's sealFrom is at least %s in the future, except in an empty store.
- Identifiers of services and servers are never reused.
- A generation never decreases, and increases when a server moves.

## Process settings

A daemon reads them from a local file; samples/process.json shows one.

`, Quarantine, Quarantine, MaxSinceError, KeyLead)
	writeObjectTable(&b, "process", Process{}, "Keys are base64: the cluster key has 16, 24 or 32 bytes, the operator key at least 16.")
	fmt.Fprintf(&b, "Log subsystems: %s. Levels: %s.\n", strings.Join(LogSubsystems(), ", "), strings.Join(LogLevels(), ", "))
	return b.String()
}

func writeObjectTable(b *strings.Builder, kind string, v any, note string) {
	t := reflect.TypeOf(v)
	fmt.Fprintf(b, "### %s\n\n%s\n\n| field | type |\n|---|---|\n", kind, note)
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fmt.Fprintf(b, "| `%s` | %s |\n", tag, typeName(t.Field(i).Type))
	}
	b.WriteString("\n")
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return "time, RFC 3339"
	case t == reflect.TypeFor[[]byte]():
		return "base64"
	case t.PkgPath() == "net/netip":
		return "address with port"
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	case t.Kind() == reflect.Map:
		return "object of strings"
	case t.Kind() == reflect.Struct:
		return "object"
	case t.Kind() == reflect.String:
		return "string"
	}
	return "number"
}
