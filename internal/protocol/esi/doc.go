// Package esi reads pages in the ESI Language (W3C Note, "ESI Language Specification
// 1.0", 4 August 2001): bytes in, nodes out, as soon as each is whole.
//
// It does no I/O and has no clock, fetches nothing and decides nothing of what is
// fetched, from where or until when. What a client sent reaches a page only escaped
// (vars.go); what a page may ask for is bounded (Limits).
//
// What there is of the language:
//
//	element    attributes              here
//	include    src, alt, onerror       all; variables in src and alt
//	inline     name, fetchable         both; its text is a fragment of that name for this page
//	choose                             with when (test) and otherwise; the first that holds
//	try                                with one attempt and one except
//	comment    text                    nothing is left of it
//	remove                             nothing is left of it, and nothing in it is looked at
//	vars                               variables in its text; elements in it as elsewhere
//	<!--esi                            the marks go, what is between them is page
//	variables  HTTP_ACCEPT_LANGUAGE{}, HTTP_COOKIE{}, HTTP_HOST, HTTP_REFERER,
//	           HTTP_USER_AGENT{}, QUERY_STRING{}, each with |default
//
// Left out: stylesheet and other extensions of vendors, which the Note does not have.
// Anything else that begins with <esi: is a Fault that names its place: whether the page
// then is an error or goes on as it is, is the caller's to say.
package esi
