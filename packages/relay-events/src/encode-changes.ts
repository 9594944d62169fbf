import type { CacheChange } from '@laburnumshift/read-cache-events';
import { PIECE_SEPARATOR } from './piece-separator.js';
import type { RelayPage } from './relay-page.js';

/** Encodes changes compactly: each scope is listed once per page, and the events of a change are stored as three columns. */
export function encodeChanges(changes: readonly CacheChange[]): Pick<RelayPage, 'scopes' | 'changes'> {
  const indexes = new Map<string, number>();
  const getIndex = (scope: string): number => {
    const index = indexes.get(scope) ?? indexes.size;
    indexes.set(scope, index);
    return index;
  };
  const encoded = changes.map(({ engine, bootId, isCleared, events }): RelayPage['changes'][number] => [
    engine,
    bootId,
    isCleared,
    events.map(({ scope, isAdded }) => getIndex(scope) * 2 + Number(isAdded)),
    events.map(({ piece }) => piece).join(PIECE_SEPARATOR),
    events.map(({ tokens }) => tokens),
  ]);
  return { scopes: [...indexes.keys()], changes: encoded };
}
