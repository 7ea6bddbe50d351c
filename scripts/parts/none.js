// Replaces modules that are imported but never called, such as the HTTP/2 client: connections without TLS do not use HTTP/2.
export {}
