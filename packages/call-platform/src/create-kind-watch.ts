import { readMonotonicMs } from '@laburnumshift/clock';
import type { PlatformEvent } from '@laburnumshift/types';
import { ANSWER_SCHEMAS } from './answer-schemas.js';
import { encodePath } from './encode-path.js';
import { listAllPages } from './list-all-pages.js';
import type { Transport } from './transport.js';

/** Time after the end of a long poll within which its response must arrive, milliseconds; after it the attempt fails. */
const WATCH_GRACE_MS = 2000;

/** Attempt number that gives a backoff of 100 to 200 ms after a failed watch or listing. */
const BACKOFF_ATTEMPT = 2;

/** A watch of one kind that all its readers share. */
interface KindWatch {
  /** Adds a handler, which first gets the known objects; the returned function removes it. */
  readonly addHandler: (handler: (events: readonly PlatformEvent[]) => void) => () => void;
}

/**
 * Watches a kind while it has handlers: lists it once, then makes long polls from the revision of the listing. After status
 * 410 it lists the kind again and reports the difference. Changes of an object are reported in the order of their versions.
 */
export function createKindWatch(transport: Transport, kind: string, watchMs: number): KindWatch {
  const handlers = new Set<(events: readonly PlatformEvent[]) => void>();
  const known = new Map<string, PlatformEvent>();
  let running = false;

  const isNeeded = (): boolean => handlers.size > 0 && !transport.isClosed();

  const applyEvents = (events: readonly PlatformEvent[]): void => {
    const newEvents = events.filter((event) => event.version > (known.get(event.name)?.version ?? 0));
    for (const event of newEvents) {
      if (event.value === null) known.delete(event.name);
      else known.set(event.name, event);
    }
    if (newEvents.length > 0) for (const handler of [...handlers]) handler(newEvents);
  };

  const resyncKind = async (): Promise<number | undefined> => {
    const listed = await listAllPages(transport, kind, '', 'config');
    if (listed.kind === 'unavailable') return undefined;
    const names = new Set(listed.items.map((item) => item.name));
    const deletedNames = [...known.keys()].filter((name) => !names.has(name));
    applyEvents([
      ...deletedNames.map((name) => ({ name, version: listed.revision, value: null })),
      ...listed.items.map(({ name, version, value }) => ({ name, version, value })),
    ]);
    return listed.revision;
  };

  /** Waits for changes after a revision; returns the revision to continue from, or `undefined` when a listing is needed. */
  const waitForChanges = async (revision: number): Promise<number | undefined> => {
    const query = `since=${String(revision)}&waitMs=${String(watchMs)}`;
    const limitMs = watchMs + WATCH_GRACE_MS;
    const call = { method: 'GET', path: `${encodePath('watch', kind)}?${query}` } as const;
    const answer = await transport.sendAttempt(call, 'config', readMonotonicMs() + limitMs, limitMs);
    if (answer.kind === 'answered' && answer.status === 410) return undefined;
    const parsed = ANSWER_SCHEMAS.changes.safeParse(answer.kind === 'answered' ? answer.body : undefined);
    if (answer.kind === 'failed' || answer.status !== 200 || !parsed.success) {
      const retryAfterMs = answer.kind === 'answered' ? answer.retryAfterMs : 0;
      await transport.waitBetweenAttempts(BACKOFF_ATTEMPT, retryAfterMs);
      return revision;
    }
    // A lower revision means that the platform was restored to an earlier state; only a listing shows what changed.
    if (parsed.data.revision < revision) return undefined;
    applyEvents(parsed.data.events);
    return parsed.data.revision;
  };

  const runWatch = async (): Promise<void> => {
    let revision: number | undefined;
    while (isNeeded()) {
      if (revision === undefined) {
        revision = await resyncKind();
        if (revision === undefined) await transport.waitBetweenAttempts(BACKOFF_ATTEMPT, 0);
      } else {
        revision = await waitForChanges(revision);
      }
    }
    running = false;
    known.clear();
  };

  return {
    addHandler: (handler) => {
      if (known.size > 0) handler([...known.values()]);
      handlers.add(handler);
      if (!running) {
        running = true;
        void runWatch();
      }
      return () => {
        handlers.delete(handler);
      };
    },
  };
}
