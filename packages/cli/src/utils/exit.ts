/**
 * Exit codes of the command line, by which scripts tell a refusal from a conflict or an unreachable instance. docs/CLI.md lists them.
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

export type ExitCode = typeof EXIT[keyof typeof EXIT]
