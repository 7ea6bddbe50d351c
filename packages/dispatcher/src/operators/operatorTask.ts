/**
 * Serves the operators' HTTP API: status, contracts, endpoint orders and the audit trail. The core task decides on
 * changes. A change request gets its response once every instance on the roster has the change in force, or after
 * `inForceWaitMs` with the failure domains that do not have it in force yet.
 */
import type { ChangeId, CodedError, EndpointOrder, Fleet, Settings } from '@cranberryyard/protocol'
import { codedError, contractSchema } from '@cranberryyard/protocol'
import type { Actor, Change, ChangeResult, StatusReport } from '@cranberryyard/core'
import { findActor } from '@cranberryyard/core'
import { z } from 'zod'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { EffectOf, Post } from '../messages.js'
import type { ConnectionGuard } from '../utils/connectionGuard.js'
import { keyHashOf } from '../utils/keys.js'
import { readJson, sendJson, statusOf, targetOf } from '../utils/httpServer.js'

/** Interval between checks whether a change is in force. */
const IN_FORCE_POLL_MS = 50

const changeSchema = z.strictObject({
  changeId: z.string().regex(/^[\w.-]{8,128}$/),
  reason: z.string().max(500).default(''),
  change: z.discriminatedUnion('type', [
    z.strictObject({ type: z.literal('contract'), contract: z.unknown(), expectedRevision: z.number().int().min(0) }),
    z.strictObject({ type: z.literal('endpoint'), endpoint: z.string().min(1).max(128), order: z.enum(['active', 'draining', 'stopped']), force: z.boolean().default(false) })
  ])
})

/** Read access to the core task's state and the audit archive. */
export interface OperatorView {
  readonly status: () => StatusReport
  readonly fleet: () => Fleet
  readonly readArchive: (key: string) => Promise<unknown>
}

/** Whether a change is in force on the whole roster. */
export interface InForceReport {
  readonly inForce: boolean
  /** Failure domains of the roster entries for which the change is not in force yet. */
  readonly missingDomains: readonly string[]
}

/** Handles the operators' requests and keeps the changes that the core task has not decided yet. */
export class OperatorTask {
  private readonly pendingChanges = new Map<string, (result: ChangeResult) => void>()
  private lastCallNumber = 0
  server: Server | undefined

  constructor (private readonly settings: Settings['operators'], private readonly post: Post, private readonly view: OperatorView, private readonly guard: ConnectionGuard) {}

  /** Checks the key of one request and routes it. */
  handle (req: IncomingMessage, res: ServerResponse): void {
    this.guard.of(req).begin(req, res)
    const actor = findActor(keyHashOf(req), this.settings.teamKeys, this.view.fleet())
    if (actor === undefined) return this.sendRefusal(res, codedError('unauthorized', 'unknown key'))
    const target = targetOf(req)
    if (target.isErr) return this.sendRefusal(res, target.error)
    const url = target.value
    switch (`${req.method} ${url.pathname}`) {
      case 'GET /v1/status': return sendJson(res, 200, this.visibleStatus(actor))
      case 'GET /v1/contracts': return sendJson(res, 200, this.visibleContracts(actor))
      case 'GET /v1/audit':
        void this.sendAudit(res, actor)
        return
      case 'GET /v1/whoami': return sendJson(res, 200, actor)
      case 'POST /v1/changes':
        void this.handleChange(req, res)
        return
      default: return this.sendRefusal(res, codedError('unknownRevision', `no such path: ${req.method} ${url.pathname}`))
    }
  }

  /** Passes the core task's decision on a change to the request that waits for it. */
  onChangeResult (effect: EffectOf<'changeResult'>): void {
    const resolve = this.pendingChanges.get(effect.callId)
    this.pendingChanges.delete(effect.callId)
    resolve?.(effect.result)
  }

  private async handleChange (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const keyHash = keyHashOf(req)
    const body = await readJson(req, res, this.guard)
    if (body.isErr) return this.sendRefusal(res, body.error)
    const parsed = changeSchema.safeParse(body.value)
    if (!parsed.success) return this.sendRefusal(res, fieldError(parsed.error.issues[0]))
    const change = parseChange(parsed.data.change)
    if (change === undefined) {
      const contract = contractSchema.safeParse((parsed.data.change as { contract: unknown }).contract)
      return this.sendRefusal(res, contractError(contract.error?.issues[0]))
    }
    const { changeId, reason } = parsed.data
    const result = await this.submitChange({ changeId: changeId as ChangeId, keyHash, reason, change })
    if (result.type === 'rejected') return this.sendRefusal(res, result.error)
    const inForce = await this.waitInForce(result.version)
    sendJson(res, 200, { outcome: 'accepted', code: inForce.inForce ? 0 : codedError('notYetInForce', '').code, ...result, ...inForce })
  }

  private submitChange (request: Extract<Parameters<Post>[0], { type: 'change' }>['request']): Promise<ChangeResult> {
    const callId = `change-${++this.lastCallNumber}`
    return new Promise((resolve) => {
      this.pendingChanges.set(callId, resolve)
      this.post({ type: 'change', callId, request })
    })
  }

  private async waitInForce (version: number): Promise<InForceReport> {
    const deadline = Date.now() + this.settings.inForceWaitMs
    for (;;) {
      const missing = this.missingDomains(version)
      if (missing.length === 0) return { inForce: true, missingDomains: [] }
      if (Date.now() >= deadline) return { inForce: false, missingDomains: missing }
      await new Promise(resolve => setTimeout(resolve, IN_FORCE_POLL_MS))
    }
  }

  private missingDomains (version: number): string[] {
    const { instances } = this.view.status()
    const roster = this.view.fleet().roster.entries
    const lagging = roster.filter((e) => {
      const row = instances.find(i => i.instance === e.instance)
      return row === undefined || row.incarnation !== e.incarnation || row.versionInForce < version
    })
    return [...new Set(lagging.map(e => e.failureDomain as string))].sort()
  }

  private visibleStatus (actor: Actor): unknown {
    const status = this.view.status()
    if (actor.type === 'team') return status
    return {
      ...status,
      customers: status.customers.filter(c => c.customer === actor.customer),
      timeliness: status.timeliness.filter(t => t.customer === actor.customer)
    }
  }

  private visibleContracts (actor: Actor): unknown {
    const { contracts, version } = this.view.fleet()
    const visible = actor.type === 'team' ? contracts : contracts.filter(r => r.contract.customer === actor.customer)
    return { version, contracts: visible }
  }

  /** Customers' staff see entries about their own contract and about endpoints, which all customers share. */
  private async sendAudit (res: ServerResponse, actor: Actor): Promise<void> {
    const { audit } = this.view.fleet()
    const archived = await this.archivedEntries(audit.archivedThrough)
    const entries = [...archived, ...audit.entries]
    const visible = actor.type === 'team' ? entries : entries.filter(e => e.subject.type === 'endpoint' || e.subject.customer === actor.customer)
    sendJson(res, 200, { entries: visible, complete: actor.type === 'team', archivedThrough: audit.archivedThrough, archivedHash: audit.archivedHash })
  }

  /** Reads the archived chunks in turn. Each holds consecutive entries; its key names the number of the first. */
  private async archivedEntries (archivedThrough: number): Promise<Fleet['audit']['entries'][number][]> {
    const entries: Fleet['audit']['entries'][number][] = []
    while (entries.length < archivedThrough) {
      const chunk = await this.view.readArchive(`audit.${entries.length + 1}`)
      if (!Array.isArray(chunk) || chunk.length === 0) break
      entries.push(...(chunk as Fleet['audit']['entries'][number][]))
    }
    return entries.slice(0, archivedThrough)
  }

  private sendRefusal (res: ServerResponse, error: CodedError): void {
    sendJson(res, statusOf(error.code), { outcome: 'failed', ...error })
  }
}

function parseChange (raw: z.output<typeof changeSchema>['change']): Change | undefined {
  if (raw.type === 'endpoint') return { ...raw, endpoint: raw.endpoint as never, order: raw.order as EndpointOrder }
  const contract = contractSchema.safeParse(raw.contract)
  return contract.success ? { type: 'contract', contract: contract.data, expectedRevision: raw.expectedRevision } : undefined
}

type Issue = { readonly path: readonly PropertyKey[], readonly message: string } | undefined

function fieldError (issue: Issue): CodedError {
  return codedError('invalidField', issue?.message ?? 'invalid', issue?.path.map(String).join('.') ?? '')
}

function contractError (issue: Issue): CodedError {
  const field = issue?.path.map(String).join('.') ?? ''
  return codedError(field === 'customer' ? 'invalidName' : 'invalidContract', issue?.message ?? 'invalid', field)
}
