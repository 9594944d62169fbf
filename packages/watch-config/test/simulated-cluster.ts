import { hashSegment } from '@laburnumshift/check-declarations';
import { sleep } from '@laburnumshift/clock';
import type {
  ConfigHead,
  ConfigSegment,
  Member,
  Membership,
  NodeMesh,
  PlatformClient,
  PlatformEvent,
} from '@laburnumshift/types';
import { watchConfig, type ConfigWatch } from '@laburnumshift/watch-config';

const FAILURE_DETECTION_MS = 2000;
const PLATFORM_DEADLINE_MS = 3000;

interface SimulatedNode {
  readonly watch: ConfigWatch;
  readonly generations: number[];
}

/** Simulates nodes with an in-memory platform, mesh and membership, and injects faults. */
export class SimulatedCluster {
  readonly nodes = new Map<string, SimulatedNode>();
  /** Hosts that get no answer from the platform. */
  readonly cutFromPlatform = new Set<string>();
  /** Hosts whose watches receive no events. */
  readonly withoutEvents = new Set<string>();
  /** Links that drop every call, as `FROM>TO`; `*` matches any host. */
  readonly cutLinks = new Set<string>();
  head: ConfigHead | undefined;
  private readonly segments = new Map<string, ConfigSegment>();
  private readonly watchers = new Map<string, Set<(events: readonly PlatformEvent[]) => void>>();
  private readonly members = new Map<string, Member>();
  private readonly listeners = new Set<() => void>();
  private readonly handlers = new Map<
    string,
    Map<string, (body: unknown, from: string) => Promise<unknown>>
  >();

  startNode(host: string, failureDomain: string, seed: number, platform = this.makePlatform(host)): void {
    const member = { host, incarnation: seed, failureDomain, address: `${host}:1` };
    this.members.set(host, member);
    this.handlers.set(host, new Map());
    const generations: number[] = [];
    const watch = watchConfig({
      platform,
      mesh: this.makeMesh(host),
      membership: this.makeMembership(member),
      seeds: [...this.members.values()].map(({ address }) => address),
      seed,
    });
    watch.onConfig((config) => generations.push(config.generation));
    this.nodes.set(host, { watch, generations });
    this.notifyMembers();
  }

  /** Stops a node at once. The other nodes detect this after 2 s. */
  async killNode(host: string): Promise<void> {
    this.nodes.get(host)?.watch.close();
    this.nodes.delete(host);
    this.handlers.delete(host);
    this.watchers.delete(host);
    await sleep(FAILURE_DETECTION_MS);
    if (this.nodes.has(host)) return;
    this.members.delete(host);
    this.notifyMembers();
  }

  /** Publishes the next generation: a file `a` that changes each time, and the files `others`, which never change. */
  publishNext(others: readonly string[] = []): number {
    const generation = (this.head?.generation ?? 0) + 1;
    const segment = { file: 'a', accounts: [], services: [], pools: [], routes: [], generation };
    const hash = hashSegment(segment);
    this.segments.set(hash, segment);
    const files: Record<string, string> = { a: hash };
    for (const file of others) {
      const other = { file, accounts: [], services: [], pools: [], routes: [] };
      files[file] = hashSegment(other);
      this.segments.set(files[file], other);
    }
    this.head = {
      generation,
      changeId: String(generation),
      author: '',
      publishedAtMs: 0,
      segments: files,
    };
    const events = [{ name: 'main', version: generation, value: this.head }];
    for (const [host, handlers] of this.watchers) {
      if (this.withoutEvents.has(host) || this.cutFromPlatform.has(host)) continue;
      for (const handler of handlers) handler(events);
    }
    return generation;
  }

  /** Counts the nodes that watch the platform. */
  countWatchers(): number {
    return [...this.watchers.values()].filter((handlers) => handlers.size > 0).length;
  }

  stopAll(): void {
    for (const { watch } of this.nodes.values()) watch.close();
  }

  private notifyMembers(): void {
    for (const listener of this.listeners) listener();
  }

  private makePlatform(host: string): PlatformClient {
    const readObject = async (kind: string, name: string): Promise<unknown> => {
      await sleep(2);
      if (this.cutFromPlatform.has(host)) {
        await sleep(PLATFORM_DEADLINE_MS);
        return { kind: 'unavailable', detail: 'cut off' };
      }
      const segment = this.segments.get(name);
      const value = kind === 'config-head' ? this.head : segment && { base: 0, segment };
      return value === undefined
        ? { kind: 'absent' }
        : { kind: 'found', object: { kind, name, version: 1, value } };
    };
    return {
      readObject,
      watchObjects: (_kind: string, handler: (events: readonly PlatformEvent[]) => void) => {
        const handlers = this.watchers.get(host) ?? new Set();
        this.watchers.set(host, handlers.add(handler));
        return () => handlers.delete(handler);
      },
    } as unknown as PlatformClient;
  }

  private makeMesh(host: string): NodeMesh {
    const isCut = (from: string, to: string): boolean =>
      [`${from}>${to}`, `${from}>*`, `*>${to}`].some((link) => this.cutLinks.has(link));
    return {
      callNode: async (address: string, type: string, body: unknown, timeoutMs: number) => {
        const to = address.split(':')[0] ?? '';
        await sleep(1);
        const handler = isCut(host, to) || isCut(to, host) ? undefined : this.handlers.get(to)?.get(type);
        if (handler !== undefined) return { ok: true, value: await handler(body, `${host}:1`) };
        await sleep(timeoutMs);
        return { ok: false, error: { kind: 'timeout', detail: '' } };
      },
      handleMessage: (type: string, handler: (body: unknown, from: string) => Promise<unknown>) => {
        this.handlers.get(host)?.set(type, handler);
      },
    } as unknown as NodeMesh;
  }

  private makeMembership(self: Member): Membership {
    const listLive = (): readonly Member[] => [...this.members.values()];
    return {
      getSelf: () => self,
      listLiveMembers: listLive,
      onChange: (handler) => {
        const notifyListener = (): void => {
          handler(listLive());
        };
        this.listeners.add(notifyListener);
        return () => this.listeners.delete(notifyListener);
      },
      leave: () => Promise.resolve(),
      close: () => undefined,
    };
  }
}
