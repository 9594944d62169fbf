import { randomInt } from 'node:crypto';
import { parseHead } from '@laburnumshift/check-declarations';
import { runEvery } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { CONFIG_KINDS, fetchSegments } from '@laburnumshift/publish-config';
import type { ConfigHead, ConfigSegment } from '@laburnumshift/types';
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { chooseWatchers } from './choose-watchers.js';
import type { ConfigWatch } from './config-watch.js';
import { createConfigState } from './create-config-state.js';
import { createContactTracker } from './create-contact-tracker.js';
import { listRelayTargets } from './list-relay-targets.js';
import { parseUpdate } from './parse-update.js';
import type { WatchConfigOptions } from './watch-config-options.js';

const POLL_MS = 5000;
/** Pause after a poll that reached nobody, or while no configuration is known. */
const SHORT_POLL_MS = 500;
/** Polling varies by this share, so that nodes started together spread their calls. */
const JITTER = 0.2;
/**
 * While peers answer, a node that does not watch reads the head at each poll only up to this many files; a longer head is
 * read proportionally less often, which keeps the reading below 9 KB/s. The watchers read it at each poll.
 */
const FILES_PER_POLL = 400;
const PEER_TIMEOUT_MS = 1000;
/**
 * Peers tried at each poll until one answers. While no configuration is known all of them are asked, since some may have
 * started as well.
 */
const PEERS_PER_POLL = 4;

const logger = createLogger('config');

/**
 * Keeps the newest configuration in force on this node. It comes from three sources, and only a higher generation is
 * accepted from any of them: the platform's watch on two watchers in each failure domain, which relay it; the watchers'
 * `config-head` messages; and a poll of a random peer every 5 s, with the platform less often. Answers `config-get`.
 */
export function watchConfig(options: WatchConfigOptions): ConfigWatch {
  const { platform, mesh, membership } = options;
  const random = xoroshiro128plus(options.seed ?? randomInt(2 ** 31));
  const state = createConfigState();
  const contact = createContactTracker();
  let stopWatch: (() => void) | undefined;
  let closed = false;

  const relayHead = ({ generation }: ConfigHead, source: 'platform' | 'peer'): void => {
    for (const target of listRelayTargets(membership.getSelf(), membership.listLive(), source)) {
      void mesh.callNode(target.address, 'config-head', { generation }, PEER_TIMEOUT_MS).then((result) => {
        if (!result.ok) return;
        contact.recordContact();
        if (result.value.generation > state.getGeneration()) void fetchFromPeer(target.address);
      });
    }
  };

  const applyHead = (
    head: ConfigHead,
    contents: ReadonlyMap<string, ConfigSegment>,
    source: 'platform' | 'peer',
  ): boolean => {
    if (closed || !state.applyHead(head, contents)) return false;
    relayHead(head, source);
    return true;
  };

  /** Asks a peer for a newer head; says whether it answered. */
  const fetchFromPeer = async (address: string): Promise<boolean> => {
    for (const above of [state.getGeneration(), 0]) {
      const result = await mesh.callNode(
        address,
        'config-get',
        { above, partial: above > 0 },
        PEER_TIMEOUT_MS,
      );
      if (!result.ok) return false;
      contact.recordContact();
      const received = parseHead(result.value?.head);
      if (received === undefined || received.generation <= state.getGeneration()) return true;
      const update = parseUpdate(result.value, state.getHead());
      if (update === undefined) continue;
      const contents = new Map([...state.getSegments(), ...update.segments]);
      if (applyHead(update.head, contents, 'peer')) return true;
      // What the peer left out is not here; the second request asks for everything.
    }
    return true;
  };

  const fetchFromPlatform = async (head: ConfigHead): Promise<void> => {
    if (head.generation <= state.getGeneration()) return;
    const contents = new Map(state.getSegments());
    const failure = await fetchSegments(platform, Object.values(head.segments), contents);
    if (failure !== undefined) {
      logger.warn('cannot read the segments of a head', {
        generation: head.generation,
        detail: failure.detail,
      });
      return;
    }
    applyHead(head, contents, 'platform');
  };

  const pollPlatform = async (): Promise<boolean> => {
    const result = await platform.readObject(CONFIG_KINDS.head, CONFIG_KINDS.headName, 'config');
    if (result.kind === 'unavailable') return false;
    contact.recordContact();
    const head = result.kind === 'found' ? parseHead(result.object.value) : undefined;
    if (head !== undefined) await fetchFromPlatform(head);
    return true;
  };

  const pollPeers = async (): Promise<boolean> => {
    const self = membership.getSelf();
    const others = membership.listLive().filter((member) => member.host !== self.host);
    const known = others.length > 0 ? others.map((member) => member.address) : (options.seeds ?? []);
    const shuffled = known
      .filter((address) => address !== self.address)
      .map((address) => ({ address, order: uniformFloat32(random) }))
      .sort((a, b) => a.order - b.order);
    const askInTurn = async (addresses: readonly string[]): Promise<boolean> => {
      for (const address of addresses) if (await fetchFromPeer(address)) return true;
      return false;
    };
    const chosen = shuffled.slice(0, PEERS_PER_POLL).map(({ address }) => address);
    if (state.getHead() !== undefined) return askInTurn(chosen);
    const answers = await Promise.all(chosen.map((address) => askInTurn([address])));
    return answers.includes(true);
  };

  let reached = true;
  let polls = randomInt(1000);
  const pollAll = async (): Promise<void> => {
    const isAlone = membership.listLive().length < 2;
    const isDue = stopWatch !== undefined || isAlone || !reached || state.getHead() === undefined;
    const files = Object.keys(state.getHead()?.segments ?? {}).length;
    const pollsPerRead = Math.max(1, Math.ceil(files / FILES_PER_POLL));
    polls += 1;
    const isRead = isDue || polls % pollsPerRead === 0;
    const answers = await Promise.all([pollPeers(), isRead ? pollPlatform() : false]);
    reached = answers.includes(true) || (!isRead && (await pollPlatform()));
  };
  const computePause = (): number => {
    const pauseMs = reached && state.getHead() !== undefined ? POLL_MS : SHORT_POLL_MS;
    return pauseMs * (1 - JITTER + 2 * JITTER * uniformFloat32(random));
  };

  const updateRole = (): void => {
    const self = membership.getSelf();
    const watchers = chooseWatchers(membership.listLive(), self.failureDomain);
    const isWatcher = watchers.some((member) => member.host === self.host);
    if (isWatcher && stopWatch === undefined) {
      stopWatch = platform.watchObjects(CONFIG_KINDS.head, (events) => {
        contact.recordContact();
        const head = parseHead(events.filter((event) => event.name === CONFIG_KINDS.headName).at(-1)?.value);
        if (head !== undefined) void fetchFromPlatform(head);
      });
    } else if (!isWatcher) {
      stopWatch?.();
      stopWatch = undefined;
    }
  };

  mesh.handleMessage('config-head', (body, from) => {
    contact.recordContact();
    if (Number.isSafeInteger(body.generation) && body.generation > state.getGeneration()) {
      const sender = membership.listLive().find((member) => [member.host, member.address].includes(from));
      void fetchFromPeer(sender?.address ?? from);
    }
    return Promise.resolve({ generation: state.getGeneration() });
  });
  mesh.handleMessage('config-get', ({ above, partial }) => {
    contact.recordContact();
    return Promise.resolve(state.buildUpdate(above, partial === true));
  });

  updateRole();
  const removeListener = membership.onChange(updateRole);
  const stopPolling = runEvery(computePause, pollAll, (error) => {
    logger.error('polling the configuration failed', { error: String(error) });
  });

  return {
    getConfig: state.getConfig,
    getHead: state.getHead,
    onConfig: state.onConfig,
    isStale: contact.isStale,
    onStaleChange: contact.onStaleChange,
    close: () => {
      closed = true;
      removeListener();
      stopPolling();
      stopWatch?.();
      stopWatch = undefined;
      contact.close();
    },
  };
}
