// Package esi parses and assembles pages in the ESI language (W3C Note, "ESI Language
// Specification 1.0", 4 August 2001). Parser turns bytes into nodes, and emits each node as
// soon as it is complete. Page assembles a page from its template and fragments.
//
// The package does no I/O and reads no clock. The caller fetches the fragments and decides
// where from, whether and for how long. Values that a client sent reach a page only escaped
// (vars.go). Limits and Options bound what a page may use.
//
// The supported language:
//
//	element    attributes              support
//	include    src, alt, onerror       all; variables in src and alt
//	inline     name, fetchable         both; its text is a fragment of that name for this page
//	choose                             with when (test) and otherwise; the first that holds
//	try                                with one attempt and one except
//	comment    text                    omitted from the output
//	remove                             omitted from the output, with its content unparsed
//	vars                               variables in its text; elements in it as elsewhere
//	<!--esi                            the marks are removed, the text between them is parsed
//	variables  HTTP_ACCEPT_LANGUAGE{}, HTTP_COOKIE{}, HTTP_HOST, HTTP_REFERER,
//	           HTTP_USER_AGENT{}, QUERY_STRING{}, each with |default
//
// Stylesheets and vendors' extensions are not supported; the Note does not specify them. Any
// other tag that begins with <esi: is a Fault that states its position. The caller decides
// whether such a page is an error or is sent unmodified.
package esi
