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
 * `config-head` messages; and a poll of the platform and of a random peer every 5 s. Answers `config-get`.
 */
export function watchConfig(options: WatchConfigOptions): ConfigWatch {
  const { platform, mesh, membership } = options;
  const random = xoroshiro128plus(options.seed ?? randomInt(2 ** 31));
  const state = createConfigState();
  const contact = createContactTracker();
  let stopWatch: (() => void) | undefined;
  let closed = false;

  const relayHead = (head: ConfigHead, source: 'platform' | 'peer'): void => {
    for (const target of listRelayTargets(membership.getSelf(), membership.listLive(), source)) {
      void mesh.callNode(target.address, 'config-head', head, PEER_TIMEOUT_MS).then((result) => {
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
      const result = await mesh.callNode(address, 'config-get', { above }, PEER_TIMEOUT_MS);
      if (!result.ok) return false;
      contact.recordContact();
      const update = parseUpdate(result.value);
      if (update === undefined || update.head.generation <= state.getGeneration()) return true;
      const contents = new Map([...state.getSegments(), ...update.segments]);
      if (applyHead(update.head, contents, 'peer')) return true;
      // The peer left out a segment that it thought was here; the second request asks for everything.
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
  const pollAll = async (): Promise<void> => {
    const answers = await Promise.all([pollPlatform(), pollPeers()]);
    reached = answers.includes(true);
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
    const head = parseHead(body);
    if (head !== undefined && head.generation > state.getGeneration()) {
      const sender = membership.listLive().find((member) => [member.host, member.address].includes(from));
      void fetchFromPeer(sender?.address ?? from);
    }
    return Promise.resolve({ generation: state.getGeneration() });
  });
  mesh.handleMessage('config-get', ({ above }) => {
    const head = state.getHead();
    contact.recordContact();
    if (head === undefined || head.generation <= above) return Promise.resolve(null);
    return Promise.resolve({ head, segments: state.listSegmentsAbove(above) });
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
