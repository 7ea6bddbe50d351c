/**
 * Sending a change so that a lost reply does no harm: the same change id is sent again until an answer arrives.
 */
import { randomUUID } from 'node:crypto'
import process from 'node:process'
import type { Contract } from '@cranberryyard/protocol'
import { call, UnreachableError } from './client.js'
import type { Reply, Target } from './client.js'
import { EXIT } from './exit.js'
import type { ExitCode } from './exit.js'
import { paint, renderFailure } from './output.js'
import type { FailureBody } from './output.js'

const ATTEMPTS = 3
const RETRY_MS = 500
const PROGRESS_MS = 500

/** A change as the operators' port takes it. */
export type ChangeBody =
  | { readonly type: 'contract', readonly contract: Contract, readonly expectedRevision: number }
  | { readonly type: 'endpoint', readonly endpoint: string, readonly order: string, readonly force: boolean }

/** Response to a change. */
export interface ChangeReply extends FailureBody {
  readonly outcome: string
  readonly version?: number
  readonly revision?: number
  readonly inForce?: boolean
  readonly missingDomains?: readonly string[]
}

/**
 * Sends a change and waits until it is in force.
 * @param target - an operators' port
 * @param change - what to change
 * @param reason - why, for the audit trail
 * @param changeId - chosen by the caller to repeat an earlier attempt
 * @returns the last reply
 * @throws UnreachableError when no attempt is answered
 */
export async function sendChange (target: Target, change: ChangeBody, reason: string, changeId = `change-${randomUUID()}`): Promise<Reply<ChangeReply>> {
  const startedAt = Date.now()
  const progress = setInterval(() => showProgress(Date.now() - startedAt), PROGRESS_MS)
  try {
    return await attempt(target, { changeId, reason, change }, ATTEMPTS)
  } finally {
    clearInterval(progress)
    if (process.stderr.isTTY) process.stderr.write('\n')
  }
}

async function attempt (target: Target, body: unknown, left: number): Promise<Reply<ChangeReply>> {
  try {
    return await call<ChangeReply>(target, 'POST', '/v1/changes', body)
  } catch (err) {
    if (!(err instanceof UnreachableError) || left <= 1) throw err
    await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    return attempt(target, body, left - 1)
  }
}

function showProgress (elapsedMs: number): void {
  if (process.stderr.isTTY) process.stderr.write(`\rwaiting for the change to be in force: ${Math.round(elapsedMs / 1000)} s`)
}

/**
 * Prints how a change ended.
 * @param what - the change in a few words
 * @param reply - the daemon's reply
 * @returns the exit code
 */
export function reportChange (what: string, reply: Reply<ChangeReply>): ExitCode {
  const { body } = reply
  if (body.outcome !== 'accepted') {
    console.error(renderFailure(body))
    return body.name === 'revisionConflict' ? EXIT.conflict : EXIT.refused
  }
  if (body.inForce === true) {
    console.log(`${what}: ${paint('green', 'accepted and in force everywhere')}`)
    return EXIT.ok
  }
  console.log(`${what}: ${paint('yellow', 'accepted, not yet in force')} in ${(body.missingDomains ?? []).join(', ')}`)
  return EXIT.notYetInForce
}
