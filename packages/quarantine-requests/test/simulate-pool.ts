import { sleep } from '@laburnumshift/clock';
import { createQuarantine } from '@laburnumshift/quarantine-requests';
import type {
  Member,
  Membership,
  NodeMesh,
  PlatformClient,
  PlatformEvent,
  Quarantine,
} from '@laburnumshift/types';

type Handler = (body: unknown, from: string) => Promise<unknown>;
type RequestOutcome = 'finished' | 'convicted' | 'failed' | 'lost';

interface Engine {
  readonly name: string;
  /** Functions that end the runs in flight; called with true when the engine crashes. */
  readonly running: Set<(crashed: boolean) => void>;
  suspects: number;
}

/** Creates a platform in memory, which refuses every call while `down` is true. */
export function createPlatform(): PlatformClient & {
  down: boolean;
  readonly objects: Map<string, { version: number; value: unknown }>;
} {
  const objects = new Map<string, { version: number; value: unknown }>();
  const watchers = new Map<string, Set<(events: readonly PlatformEvent[]) => void>>();
  let revision = 0;
  const notifyWatchers = (kind: string, name: string, value: unknown): void => {
    for (const handler of watchers.get(kind) ?? []) handler([{ name, version: revision, value }]);
  };
  const unavailable = { kind: 'unavailable' as const, detail: 'down' };
  const platform: Partial<PlatformClient> & { down: boolean } = {
    down: false,
    readObject: (kind, name) => {
      const found = objects.get(`${kind}/${name}`);
      if (platform.down) return Promise.resolve(unavailable);
      if (found === undefined) return Promise.resolve({ kind: 'absent' as const });
      return Promise.resolve({
        kind: 'found' as const,
        object: { kind, name, version: found.version, value: found.value as never },
      });
    },
    writeObject: (kind, name, value, ifVersion) => {
      if (platform.down) return Promise.resolve(unavailable);
      const version = objects.get(`${kind}/${name}`)?.version ?? 0;
      if (version !== ifVersion) return Promise.resolve({ kind: 'conflict', version });
      revision += 1;
      objects.set(`${kind}/${name}`, { version: revision, value });
      notifyWatchers(kind, name, value);
      return Promise.resolve({ kind: 'written', version: revision });
    },
    deleteObject: (kind, name) => {
      if (platform.down) return Promise.resolve(unavailable);
      revision += 1;
      objects.delete(`${kind}/${name}`);
      notifyWatchers(kind, name, null);
      return Promise.resolve({ kind: 'written', version: revision });
    },
    listObjects: (kind) => {
      if (platform.down) return Promise.resolve(unavailable);
      const items = [...objects].flatMap(([path, object]) =>
        path.startsWith(`${kind}/`)
          ? [
              {
                kind,
                name: path.slice(kind.length + 1),
                version: object.version,
                value: object.value as never,
              },
            ]
          : [],
      );
      return Promise.resolve({ kind: 'listed' as const, items, revision });
    },
    watchObjects: (kind, handler) => {
      const known = watchers.get(kind) ?? new Set();
      watchers.set(kind, known.add(handler));
      return () => known.delete(handler);
    },
  };
  return Object.assign(platform as PlatformClient & { down: boolean }, { objects });
}

/** Simulates nodes with one quarantine each, and a pool of engines that a poisonous request crashes. */
export function simulatePool(nodeCount: number, engineCount: number, platform = createPlatform()) {
  const members = Array.from({ length: nodeCount }, (_, i): Member => {
    const host = `n${String(i)}`;
    return { host, incarnation: 1, failureDomain: 'd', address: host };
  });
  const dead = new Set<string>();
  const listLive = (): Member[] => members.filter((member) => !dead.has(member.host));
  const changes = new Map<string, (live: readonly Member[]) => void>();
  const handlers = new Map<string, Map<string, Handler>>(
    members.map((m) => [m.host, new Map<string, Handler>()]),
  );
  const quarantines = new Map<string, Quarantine>();
  for (const self of members) {
    const mesh: Partial<NodeMesh> = {
      callNode: async (address, type, body, timeoutMs) => {
        if (dead.has(address) || dead.has(self.host)) {
          await sleep(timeoutMs);
          return { ok: false, error: { kind: 'timeout', detail: 'dead' } };
        }
        return { ok: true, value: (await handlers.get(address)?.get(type)?.(body, self.host)) as never };
      },
      handleMessage: (type, handler) => handlers.get(self.host)?.set(type, handler),
    };
    const membership: Partial<Membership> = {
      getSelf: () => self,
      listLiveMembers: listLive,
      onChange: (handler) => {
        changes.set(self.host, handler);
        return () => changes.delete(self.host);
      },
    };
    quarantines.set(
      self.host,
      createQuarantine({ mesh: mesh as NodeMesh, membership: membership as Membership, platform }),
    );
  }
  const engines = Array.from({ length: engineCount }, (_, i): Engine => ({
    name: `e${String(i)}`,
    running: new Set(),
    suspects: 0,
  }));
  const counts = { crashes: 0, requests: 0, maxConcurrentRuns: 0, running: new Map<string, number>() };

  /** Kills nodes at the same time, so that none of them can hand over its entries. */
  const killNodes = (hosts: readonly string[]): void => {
    for (const host of hosts) {
      dead.add(host);
      quarantines.get(host)?.close();
    }
    for (const [name, handler] of changes) if (!dead.has(name)) handler(listLive());
  };

  /**
   * Runs a request on an engine. A poisonous one crashes the engine and all runs in flight there; the engine restarts at once.
   * Resolves to true when the engine crashed.
   */
  const runOnEngine = async (engine: Engine, poisonous: boolean): Promise<boolean> => {
    let stopRun: (crashed: boolean) => void = () => undefined;
    const crashed = new Promise<boolean>((resolve) => (stopRun = resolve));
    engine.running.add(stopRun);
    const ended = sleep(poisonous ? 50 : 100).then(() => false);
    const isCrashed = await Promise.race([crashed, ended]);
    engine.running.delete(stopRun);
    if (!poisonous || isCrashed) return isCrashed;
    counts.crashes += 1;
    for (const stop of engine.running) stop(true);
    return true;
  };

  /** Sends a request through one node, with up to `attempts` attempts. */
  const sendRequest = async (
    host: string,
    fingerprint: string,
    poisonous: boolean,
    attempts = 3,
  ): Promise<RequestOutcome> => {
    counts.requests += 1;
    const requestId = `r${String(counts.requests)}`;
    const quarantine = quarantines.get(host);
    for (let attempt = 0; quarantine !== undefined && attempt < attempts;) {
      if (dead.has(host)) return 'lost';
      const decision = await quarantine.checkRequest(fingerprint, requestId);
      if (decision.kind === 'convicted') return 'convicted';
      if (decision.kind === 'busy') {
        await sleep(decision.retryAfterMs);
        continue;
      }
      const isolated = decision.kind === 'isolate';
      const free = engines.filter((engine) => !isolated || engine.suspects === 0);
      const engine = free[counts.requests % free.length];
      if (engine === undefined) {
        await sleep(20);
        continue;
      }
      if (isolated) engine.suspects += 1;
      const running = (counts.running.get(fingerprint) ?? 0) + 1;
      counts.running.set(fingerprint, running);
      if (isolated) counts.maxConcurrentRuns = Math.max(counts.maxConcurrentRuns, running);
      const isCrashed = await runOnEngine(engine, poisonous);
      counts.running.set(fingerprint, running - 1);
      if (isolated) engine.suspects -= 1;
      if (dead.has(host)) return 'lost';
      if (!isCrashed) {
        quarantine.reportFinish(fingerprint, requestId);
        return 'finished';
      }
      attempt += 1;
      await quarantine.reportCrash(fingerprint, engine.name, 'p', isolated);
    }
    quarantine?.releaseRequest(fingerprint, requestId);
    return 'failed';
  };

  return { members, dead, platform, quarantines, engines, counts, killNodes, sendRequest };
}
