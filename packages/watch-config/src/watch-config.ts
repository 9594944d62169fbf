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

/** Mean interval between polls, milliseconds. */
const POLL_INTERVAL_MS = 5000;
/** Mean interval after a poll without any answer, and while no configuration is known, milliseconds. */
const RETRY_INTERVAL_MS = 500;
/**
 * Largest random deviation from the mean interval, as a share of it, so that nodes started together do not poll at
 * once.
 */
const JITTER_SHARE = 0.2;
/**
 * Number of files in the head up to which a node that is no watcher reads the head from the platform at each poll while
 * peers answer. A longer head is read proportionally less often, which limits these reads to 9 KB/s. Watchers read the
 * head at each poll.
 */
const FILES_PER_POLL = 400;
/** Timeout of a call to a peer, milliseconds. */
const PEER_TIMEOUT_MS = 1000;
/**
 * Maximum number of peers called at each poll, one after another until one answers. While no configuration is known,
 * this many peers are called at once, because some of them may have just started too.
 */
const PEERS_PER_POLL = 4;

const logger = createLogger('config');

/**
 * Keeps the configuration of this node up to date and answers `config-get`. There are three sources: the platform's
 * watch, which two watchers in each failure domain use and relay; the `config-head` messages of these watchers; and a
 * poll of random peers every 5 s, and of the platform, less often if the head is long. Only a higher generation than
 * the current one is accepted from any of them.
 */
export function watchConfig(options: WatchConfigOptions): ConfigWatch {
  const { platform, mesh, membership } = options;
  const random = xoroshiro128plus(options.seed ?? randomInt(2 ** 31));
  const state = createConfigState();
  const contact = createContactTracker();
  let stopWatch: (() => void) | undefined;
  let closed = false;

  const relayHead = ({ generation }: ConfigHead, source: 'platform' | 'peer'): void => {
    for (const target of listRelayTargets(membership.getSelf(), membership.listLiveMembers(), source)) {
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

  /** Requests a newer head from a peer and applies it. Returns whether the peer answered. */
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
      // This node lacks a segment that the partial update omits, so the second request asks for the whole head.
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
    const others = membership.listLiveMembers().filter((member) => member.host !== self.host);
    const peerAddresses = others.length > 0 ? others.map((member) => member.address) : (options.seeds ?? []);
    const shuffled = peerAddresses
      .filter((address) => address !== self.address)
      .map((address) => ({ address, order: uniformFloat32(random) }))
      .sort((a, b) => a.order - b.order);
    const askSequentially = async (addresses: readonly string[]): Promise<boolean> => {
      for (const address of addresses) if (await fetchFromPeer(address)) return true;
      return false;
    };
    const chosen = shuffled.slice(0, PEERS_PER_POLL).map(({ address }) => address);
    if (state.getHead() !== undefined) return askSequentially(chosen);
    const answers = await Promise.all(chosen.map((address) => askSequentially([address])));
    return answers.includes(true);
  };

  let wasReached = true;
  let pollCount = randomInt(1000);
  const pollAll = async (): Promise<void> => {
    const isAlone = membership.listLiveMembers().length < 2;
    const mustReadPlatform =
      stopWatch !== undefined || isAlone || !wasReached || state.getHead() === undefined;
    const files = Object.keys(state.getHead()?.segments ?? {}).length;
    const pollsPerRead = Math.max(1, Math.ceil(files / FILES_PER_POLL));
    pollCount += 1;
    const readsPlatform = mustReadPlatform || pollCount % pollsPerRead === 0;
    const answers = await Promise.all([pollPeers(), readsPlatform ? pollPlatform() : false]);
    wasReached = answers.includes(true) || (!readsPlatform && (await pollPlatform()));
  };
  const computePause = (): number => {
    const pauseMs = wasReached && state.getHead() !== undefined ? POLL_INTERVAL_MS : RETRY_INTERVAL_MS;
    return pauseMs * (1 - JITTER_SHARE + 2 * JITTER_SHARE * uniformFloat32(random));
  };

  const updateWatcherRole = (): void => {
    const self = membership.getSelf();
    const watchers = chooseWatchers(membership.listLiveMembers(), self.failureDomain);
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
      const sender = membership
        .listLiveMembers()
        .find((member) => [member.host, member.address].includes(from));
      void fetchFromPeer(sender?.address ?? from);
    }
    return Promise.resolve({ generation: state.getGeneration() });
  });
  mesh.handleMessage('config-get', ({ above, partial }) => {
    contact.recordContact();
    return Promise.resolve(state.buildUpdate(above, partial === true));
  });

  updateWatcherRole();
  const removeListener = membership.onChange(updateWatcherRole);
  const stopPolling = runEvery(computePause, pollAll, (error) => {
    logger.error('cannot poll the configuration', { error: String(error) });
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
