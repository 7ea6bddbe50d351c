/**
 * Sends contract and endpoint changes to the operators' port and reports how they ended. Every attempt carries the same
 * change id, so the daemon applies the change once even when a reply is lost and the request is sent again.
 */
import { randomUUID } from 'node:crypto'
import process from 'node:process'
import type { Contract } from '@cranberryyard/protocol'
import { sendRequest, UnreachableError } from './client.js'
import type { Reply, Target } from './client.js'
import { EXIT } from './exit.js'
import type { ExitCode } from './exit.js'
import { colourText, renderFailure } from './output.js'
import type { FailureBody } from './output.js'

const MAX_ATTEMPTS = 3
const RETRY_DELAY_MS = 500
const PROGRESS_INTERVAL_MS = 500

/** Change in the form that the operators' port accepts. */
export type ChangeBody =
  | { readonly type: 'contract', readonly contract: Contract, readonly expectedRevision: number }
  | { readonly type: 'endpoint', readonly endpoint: string, readonly order: string, readonly force: boolean }

/** The daemon's response to a change. */
export interface ChangeReply extends FailureBody {
  readonly outcome: string
  readonly version?: number
  readonly revision?: number
  readonly inForce?: boolean
  readonly missingDomains?: readonly string[]
}

/**
 * Sends a change and waits for the reply, which arrives when the change is in force or the daemon has stopped waiting for that.
 * Retries up to `MAX_ATTEMPTS` times when the instance does not respond.
 * @param target - an operators' port
 * @param change - the change
 * @param reason - reason that the audit trail records
 * @param changeId - id of an earlier attempt when this call repeats it; a new id by default
 * @returns the daemon's reply
 * @throws UnreachableError when no attempt gets a response
 */
export async function sendChange (target: Target, change: ChangeBody, reason: string, changeId = `change-${randomUUID()}`): Promise<Reply<ChangeReply>> {
  const startedAt = Date.now()
  const progress = setInterval(() => showProgress(Date.now() - startedAt), PROGRESS_INTERVAL_MS)
  try {
    return await postWithRetry(target, { changeId, reason, change }, MAX_ATTEMPTS)
  } finally {
    clearInterval(progress)
    if (process.stderr.isTTY) process.stderr.write('\n')
  }
}

async function postWithRetry (target: Target, body: unknown, attemptsLeft: number): Promise<Reply<ChangeReply>> {
  try {
    return await sendRequest<ChangeReply>(target, 'POST', '/v1/changes', body)
  } catch (err) {
    if (!(err instanceof UnreachableError) || attemptsLeft <= 1) throw err
    await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    return postWithRetry(target, body, attemptsLeft - 1)
  }
}

function showProgress (elapsedMs: number): void {
  if (process.stderr.isTTY) process.stderr.write(`\rwaiting for the change to be in force: ${Math.round(elapsedMs / 1000)} s`)
}

/**
 * Prints whether a change was refused, accepted, or accepted but not yet in force in some failure domains.
 * @param label - short description of the change
 * @param reply - the daemon's reply
 * @returns the exit code for the outcome; a conflict of revisions has its own
 */
export function reportChange (label: string, reply: Reply<ChangeReply>): ExitCode {
  const { body } = reply
  if (body.outcome !== 'accepted') {
    console.error(renderFailure(body))
    return body.name === 'revisionConflict' ? EXIT.conflict : EXIT.refused
  }
  if (body.inForce === true) {
    console.log(`${label}: ${colourText('green', 'accepted and in force everywhere')}`)
    return EXIT.ok
  }
  console.log(`${label}: ${colourText('yellow', 'accepted, not yet in force')} in ${(body.missingDomains ?? []).join(', ')}`)
  return EXIT.notYetInForce
}
