/**
 * Renumbers fencing tokens. Only their order matters, so states that differ in nothing else are made equal: the tokens in use are numbered from 1, and
 * an endpoint whose token is lower than any that can still reach it counts as one that has seen none.
 */
import { NO_TOKEN } from './state.js'
import type { ModelState, Token } from './types.js'

/** @returns the state with the lowest tokens that keep their order, or the state itself if it has these */
export function renumberTokens (state: ModelState): ModelState {
  const { store, owners, orders, lateWrites, endpoints } = state
  if (store.token === NO_TOKEN) return state
  let used = bitOf(store.token)
  for (const { token } of owners) used |= bitOf(token)
  for (const { token } of orders) used |= bitOf(token)
  used &= ~bitOf(NO_TOKEN)
  const lowestActing = used & -used
  for (const { token } of lateWrites) used |= bitOf(token)
  for (const { token } of endpoints) if (bitOf(token) >= lowestActing) used |= bitOf(token)
  const isDense = (used & (used + bitOf(NO_TOKEN + 1))) === 0
  if (isDense && endpoints.every(({ token }) => token === NO_TOKEN || bitOf(token) >= lowestActing)) return state
  const renumbered = <T extends { readonly token: Token }>(part: T): T => {
    const token = rankOf(part.token, used)
    return token === part.token ? part : { ...part, token }
  }
  return { ...state, store: renumbered(store), owners: owners.map(renumbered), orders: orders.map(renumbered), lateWrites: lateWrites.map(renumbered), endpoints: endpoints.map(renumbered) }
}

function bitOf (token: number): number {
  return 1 << token
}

/** @returns the number of used tokens up to this one, or none for a token that is not used */
function rankOf (token: Token, used: number): Token {
  if ((used & bitOf(token)) === 0) return NO_TOKEN
  let rank = 0
  for (let other = 1; other <= token; other++) if ((used & bitOf(other)) !== 0) rank++
  return rank as Token
}
