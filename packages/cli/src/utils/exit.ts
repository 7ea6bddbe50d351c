/**
 * Exit codes of the command line. docs/CLI.md lists them.
 */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  unreachable: 3,
  refused: 4,
  conflict: 5,
  notYetInForce: 6
} as const

/** An exit code. */
export type ExitCode = typeof EXIT[keyof typeof EXIT]
