// Package docscheck tests that the documentation matches the code: every package is described and
// imports only the layers that docs/architecture.md allows, and all files, packages, identifiers, tests,
// scenarios and log messages that the pages name exist.
package docscheck
