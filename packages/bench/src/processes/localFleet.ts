/**
 * Runs a complete deployment on the loopback interface. Entry instances are daemons in processes of their own, started from
 * the built program; stand-ins for platform and endpoints run in this process. On request every link goes through a fault
 * proxy, which can cut or reset it.
 */
import { EndpointFake, FaultProxy, PlatformFake, PortRange } from '@cranberryyard/fakes'
import { hashKey } from '@cranberryyard/dispatcher'
import { EMPTY_FLEET } from '@cranberryyard/protocol'
import type { Contract, EndpointId, EndpointInfo, FailureDomain, InstanceId } from '@cranberryyard/protocol'
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { mkdirSync, openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import process from 'node:process'
import { fileURLToPath } from 'node:url'
import { stringify } from 'smol-toml'

const DAEMON = fileURLToPath(import.meta.resolve('@cranberryyard/dispatcher')).replace(/index\.js$/, 'main.js')

/** Size, contracts and settings of a local deployment. */
export interface LocalOptions {
  /** Folder for settings and logs. */
  readonly folder: string
  readonly domains: readonly string[]
  readonly instancesPerDomain: number
  readonly endpointsPerDomain: number
  readonly slots: number
  readonly contracts: readonly Contract[]
  readonly teamKey: string
  /** Puts every link between instances, and to endpoints and platform, behind a fault proxy. */
  readonly proxied: boolean
  readonly settings?: Record<string, Record<string, unknown>>
  /** Number of endpoints that the platform lists though nothing serves them, to measure the cost of a longer list. */
  readonly listedEndpoints?: number
  /** First of the ports to use, counted upwards. Without it, the deployment takes any free ports. */
  readonly basePort?: number
  readonly keepsLog?: boolean
}

/** An entry instance that runs as a daemon. */
export interface LocalInstance {
  readonly id: InstanceId
  readonly domain: string
  readonly callerUrl: string
  readonly operatorUrl: string
  readonly peerPort: number
  readonly settingsFile: string
  process: ChildProcess | undefined
  /** Exit code of the last started process, once it has ended; null after a signal. */
  exited: Promise<number | null>
}

/** One endpoint stand-in. */
export interface LocalEndpoint {
  readonly id: EndpointId
  readonly domain: string
  readonly fake: EndpointFake
}

interface Ports {
  readonly caller: number
  readonly operator: number
  readonly peer: number
}

interface ProxiedLink {
  readonly from: string
  readonly to: string
  /** Instance that connects over the link; empty for a link that all instances of a domain share. */
  readonly owner: string
  readonly proxy: FaultProxy
}

/** Name of the platform as the target of a link. */
export const PLATFORM_DOMAIN = 'platform'

/** A deployment with its daemons, stand-ins and links. */
export class LocalFleet {
  readonly platform = new PlatformFake()
  readonly instances: LocalInstance[] = []
  readonly endpoints: LocalEndpoint[] = []
  private readonly links: ProxiedLink[] = []
  private readonly ports = new Map<string, Ports>()
  private platformPort = 0
  private readonly freePorts = new PortRange()
  /** Next port when the options name the first one; otherwise undefined. */
  private nextPort: number | undefined

  constructor (private readonly options: LocalOptions) {
    this.nextPort = options.basePort
  }

  /** Folder for the settings and logs of the instances. */
  get folder (): string {
    return this.options.folder
  }

  /** Starts the stand-ins, writes the settings, and launches every daemon without waiting for it. */
  async start (): Promise<void> {
    mkdirSync(this.options.folder, { recursive: true })
    this.platformPort = await this.platform.listen(await this.allocatePort())
    const fleet = { ...EMPTY_FLEET, version: 1, contracts: this.options.contracts.map(contract => ({ revision: 1, contract })) }
    this.platform.store.write('fleet', JSON.stringify(fleet), 0)
    for (const domain of this.options.domains) await this.startEndpoints(domain)
    this.listUnservedEndpoints(this.options.listedEndpoints ?? 0)
    for (const domain of this.options.domains) await this.prepareInstances(domain)
    await this.writeSettings()
    for (const instance of this.instances) this.launch(instance)
  }

  /** Starts the process of an instance, also after an earlier process ended. Logs are appended. */
  launch (instance: LocalInstance): void {
    const log = openSync(join(this.options.folder, `${instance.id}.log`), 'a')
    const child = spawn(process.execPath, [DAEMON, '--settings', instance.settingsFile], { stdio: ['ignore', log, log] })
    instance.process = child
    instance.exited = new Promise(resolve => child.once('exit', code => resolve(code)))
  }

  /** Waits until the health page of an instance reports that it serves. */
  async waitServing (instance: LocalInstance, timeoutMs = 20_000): Promise<void> {
    const until = Date.now() + timeoutMs
    while (Date.now() < until) {
      if (await isServing(instance)) return
      await sleep(50)
    }
    throw new Error(`instance ${instance.id} is not serving after ${timeoutMs} ms`)
  }

  /** Waits until every instance serves, then up to 20 s until the stored roster of claim voters has them all, then 1.5 s more. */
  async waitReady (): Promise<void> {
    for (const instance of this.instances) await this.waitServing(instance)
    const until = Date.now() + 20_000
    while (Date.now() < until) {
      const stored = JSON.parse(this.platform.store.get('fleet')?.value ?? '{}') as typeof EMPTY_FLEET
      if (stored.claimVoters.entries.length === this.instances.length) break
      await sleep(50)
    }
    await sleep(1500)
  }

  /** Cuts the links between a failure domain and the others, and those to the platform if `fromPlatform` is set. */
  cutDomain (domain: string, fromPlatform: boolean): void {
    for (const link of this.links) if (this.crossesCut(link, domain, fromPlatform)) link.proxy.cut()
  }

  /** Ends all cuts. */
  heal (): void {
    for (const { proxy } of this.links) if (proxy.faults.cutForward || proxy.faults.cutBackward) proxy.heal()
  }

  /** Resets every connection that runs through a proxy. */
  resetLinks (): void {
    for (const { proxy } of this.links) proxy.reset()
  }

  /** @returns bytes in both directions on the proxied links that an instance opened to its peers */
  peerBytes (instance: LocalInstance): number {
    return this.links.filter(l => l.owner === instance.id && l.to !== PLATFORM_DOMAIN).reduce((sum, l) => sum + l.proxy.bytes, 0)
  }

  /** Kills the daemons and closes stand-ins and proxies. */
  async stop (): Promise<void> {
    for (const { process: child } of this.instances) child?.kill('SIGKILL')
    await Promise.all(this.instances.map(i => i.exited))
    await Promise.all(this.endpoints.map(e => e.fake.close()))
    await Promise.all(this.links.map(l => l.proxy.close()))
    await this.platform.close()
  }

  private crossesCut (link: ProxiedLink, domain: string, fromPlatform: boolean): boolean {
    if (link.from === link.to) return false
    if (link.to === PLATFORM_DOMAIN) return fromPlatform && link.from === domain
    return link.from === domain || link.to === domain
  }

  private async startEndpoints (domain: string): Promise<void> {
    for (let i = 0; i < this.options.endpointsPerDomain; i++) {
      const size = { slots: this.options.slots, cores: 32, memoryMb: 131_072, accelerators: 0 }
      const fake = new EndpointFake(size, this.options.keepsLog ?? true)
      const port = await fake.listen(await this.allocatePort())
      const id = `endpoint-${domain}-${i + 1}` as EndpointId
      this.endpoints.push({ id, domain, fake })
      const rack = `rack-${domain}-${Math.floor(i / 8) + 1}`
      this.platform.endpoints.push({ id, failureDomain: domain as FailureDomain, rack, address: `127.0.0.1:${port}`, leaving: false, ...size })
    }
  }

  private listUnservedEndpoints (count: number): void {
    const { domains } = this.options
    for (let i = 0; i < count; i++) {
      const failureDomain = (domains[i % domains.length] ?? '') as FailureDomain
      const size = { slots: 8, cores: 32, memoryMb: 131_072, accelerators: i % 8 === 0 ? 8 : 0 }
      this.platform.endpoints.push({ id: `listed-${i}` as EndpointId, failureDomain, rack: `rack-${Math.floor(i / 8)}`, address: '127.0.0.1:9', leaving: false, ...size })
    }
  }

  private async prepareInstances (domain: string): Promise<void> {
    for (let i = 0; i < this.options.instancesPerDomain; i++) {
      const id = `entry-${domain}-${i + 1}` as InstanceId
      const ports = { caller: await this.allocatePort(), operator: await this.allocatePort(), peer: await this.allocatePort() }
      this.ports.set(id, ports)
      this.instances.push({
        id,
        domain,
        callerUrl: `http://127.0.0.1:${ports.caller}`,
        operatorUrl: `http://127.0.0.1:${ports.operator}`,
        peerPort: ports.peer,
        settingsFile: join(this.options.folder, `${id}.toml`),
        process: undefined,
        exited: Promise.resolve(null)
      })
    }
  }

  private async allocatePort (): Promise<number> {
    return this.nextPort === undefined ? this.freePorts.next() : this.nextPort++
  }

  private async writeSettings (): Promise<void> {
    for (const instance of this.instances) {
      const ports = this.ports.get(instance.id)
      if (ports === undefined) continue
      const peers = await this.peersOf(instance)
      const platform = await this.openLink(instance.domain, PLATFORM_DOMAIN, this.platformPort, instance.id)
      const settings = {
        instance: { id: instance.id, failureDomain: instance.domain },
        listen: { callerPort: ports.caller, operatorPort: ports.operator, peerPort: ports.peer },
        peers,
        callerTls: { plain: true },
        operatorTls: { plain: true },
        peerTls: { plain: true },
        operators: { teamKeys: [{ name: 'team', keyHash: hashKey(this.options.teamKey) }] },
        ...this.options.settings,
        platform: { address: `127.0.0.1:${platform}`, listPeriodMs: 1000, ...this.options.settings?.platform }
      }
      writeFileSync(instance.settingsFile, stringify(settings))
    }
    if (this.options.proxied) await this.proxyEndpoints()
  }

  private async peersOf (instance: LocalInstance): Promise<{ id: string, address: string }[]> {
    const others = this.instances.filter(i => i.id !== instance.id)
    return Promise.all(others.map(async (other) => {
      const port = this.ports.get(other.id)?.peer ?? 0
      return { id: other.id, address: `127.0.0.1:${await this.openLink(instance.domain, other.domain, port, instance.id)}` }
    }))
  }

  /** @returns the port to connect to: the target's own, or that of a new proxy in front of it */
  private async openLink (from: string, to: string, targetPort: number, owner = ''): Promise<number> {
    if (!this.options.proxied) return targetPort
    const proxy = new FaultProxy(targetPort)
    this.links.push({ from, to, owner, proxy })
    return proxy.listen()
  }

  /** Gives each failure domain its own link to each endpoint, so that a cut between domains affects endpoints too. */
  private async proxyEndpoints (): Promise<void> {
    const endpointsByDomain = new Map<string, EndpointInfo[]>()
    for (const domain of this.options.domains) {
      endpointsByDomain.set(domain, await Promise.all(this.platform.endpoints.map(info => this.proxiedEndpoint(domain, info))))
    }
    this.platform.endpointsFrom = domain => (endpointsByDomain.get(domain) ?? []).filter(e => this.platform.endpoints.some(p => p.id === e.id))
  }

  private async proxiedEndpoint (from: string, info: EndpointInfo): Promise<EndpointInfo> {
    const port = Number(info.address.split(':')[1])
    return { ...info, address: `127.0.0.1:${await this.openLink(from, info.failureDomain, port)}` }
  }
}

/** @returns true when the health page answers with status 200 */
export async function isServing (instance: LocalInstance): Promise<boolean> {
  try {
    const res = await fetch(`${instance.callerUrl}/healthz`)
    await res.arrayBuffer()
    return res.status === 200
  } catch {
    return false
  }
}

export function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
