// Stands for packages that are loaded with another one and never called here.
