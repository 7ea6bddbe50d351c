// Stands for modules that are imported and never called: HTTP/2 is not spoken on connections without TLS.
export {}
