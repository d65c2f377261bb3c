// Package docscheck holds the pages under docs to the code: that every package is described and
// imports only what the page on the architecture allows, and that the files, packages, identifiers,
// tests, scenarios and log messages that the pages name exist. It has tests only.
package docscheck
