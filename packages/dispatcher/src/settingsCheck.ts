/**
 * Checks of the settings that go beyond their form: TLS needs its files unless a port is plain.
 */
import { existsSync } from 'node:fs'
import { Result } from 'true-myth'
import type { Settings, TomlFault } from '@cranberryyard/protocol'

const TLS_SECTIONS = ['callerTls', 'operatorTls', 'peerTls'] as const

/**
 * Checks that the files named exist.
 * @param settings - settings of correct form
 * @returns the settings, or all faults
 */
export function checkFiles (settings: Settings): Result<Settings, readonly TomlFault[]> {
  const faults = TLS_SECTIONS.flatMap(section => faultsOf(section, settings[section]))
  return faults.length === 0 ? Result.ok(settings) : Result.err(faults)
}

function faultsOf (section: typeof TLS_SECTIONS[number], tls: Settings['callerTls']): TomlFault[] {
  if (tls.plain) return []
  const needed = section === 'peerTls' ? ['certFile', 'keyFile', 'caFile'] as const : ['certFile', 'keyFile'] as const
  return needed
    .filter(key => tls[key] === '' || !existsSync(tls[key]))
    .map(key => ({ key: `${section}.${key}`, line: 0, message: tls[key] === '' ? 'needed unless plain = true' : 'no such file' }))
}
