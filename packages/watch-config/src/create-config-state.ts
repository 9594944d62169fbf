import { compileConfig } from '@laburnumshift/check-declarations';
import { createLogger } from '@laburnumshift/logger';
import type { Config, ConfigHead, ConfigSegment, ConfigUpdate } from '@laburnumshift/types';

/**
 * Limit on the remembered removed files. Beyond it they are cleared, and peers with older generations get the whole
 * head.
 */
const MAX_REMOVED_FILES = 1000;

/** The current head and its segments. */
interface ConfigState {
  readonly getConfig: () => Config | undefined;
  readonly getHead: () => ConfigHead | undefined;
  /** Generation of the current head; 0 when there is none. */
  readonly getGeneration: () => number;
  /** Segments of the current head, by hash. */
  readonly getSegments: () => ReadonlyMap<string, ConfigSegment>;
  /**
   * Builds the update for a node with this generation, `null` when it needs none. Contains the whole head unless
   * `isPartial` is set and all changes since that generation are known.
   */
  readonly buildUpdate: (generation: number, isPartial: boolean) => ConfigUpdate | null;
  /**
   * Makes a head the current one. Returns false without a change if its generation is not higher or a segment is
   * missing.
   */
  readonly applyHead: (head: ConfigHead, contents: ReadonlyMap<string, ConfigSegment>) => boolean;
  /**
   * Calls the handler with the current configuration, if any, and with each new one. The returned function removes it.
   */
  readonly onConfig: (handler: (config: Config) => void) => () => void;
}

const logger = createLogger('config');

/** Creates the state of a node that has not received a configuration. */
export function createConfigState(): ConfigState {
  const handlers = new Set<(config: Config) => void>();
  /** Last generation that changed or removed each file, of the generations that this node applied. */
  const changedAt = new Map<string, number>();
  const removedAt = new Map<string, number>();
  /** All changes after this generation are known. */
  let changesKnownAfter = Infinity;
  let current:
    | {
        readonly head: ConfigHead;
        readonly config: Config;
        readonly segments: ReadonlyMap<string, ConfigSegment>;
      }
    | undefined;

  const notifyHandler = (handler: (config: Config) => void, config: Config): void => {
    try {
      handler(config);
    } catch (error) {
      logger.error('a handler of configuration changes failed', { error: String(error) });
    }
  };

  const trackChanges = (before: ConfigHead | undefined, after: ConfigHead): void => {
    if (before === undefined) changesKnownAfter = after.generation;
    else {
      for (const [file, hash] of Object.entries(after.segments)) {
        if (before.segments[file] === hash) continue;
        changedAt.set(file, after.generation);
        removedAt.delete(file);
      }
      for (const file of Object.keys(before.segments)) {
        if (after.segments[file] !== undefined) continue;
        changedAt.delete(file);
        removedAt.set(file, after.generation);
      }
    }
    if (removedAt.size <= MAX_REMOVED_FILES) return;
    removedAt.clear();
    changesKnownAfter = after.generation;
  };

  return {
    getConfig: () => current?.config,
    getHead: () => current?.head,
    getGeneration: () => current?.head.generation ?? 0,
    getSegments: () => current?.segments ?? new Map<string, ConfigSegment>(),
    buildUpdate: (generation, isPartial) => {
      if (current === undefined || current.head.generation <= generation) return null;
      const { head, segments } = current;
      if (!isPartial || generation < changesKnownAfter)
        return { head, segments: Object.fromEntries(segments) };
      const files = [...changedAt].filter(([, at]) => at > generation).map(([file]) => file);
      const hashes = Object.fromEntries(files.map((file) => [file, head.segments[file] ?? '']));
      const removed = [...removedAt].filter(([, at]) => at > generation).map(([file]) => file);
      const contents = Object.values(hashes).flatMap((hash) => {
        const segment = segments.get(hash);
        return segment === undefined ? [] : [[hash, segment] as const];
      });
      const partial = { head: { ...head, segments: hashes }, base: generation, removed };
      return { ...partial, segments: Object.fromEntries(contents) };
    },
    applyHead: (head, contents) => {
      if (head.generation <= (current?.head.generation ?? 0)) return false;
      const segments = new Map<string, ConfigSegment>();
      for (const hash of Object.values(head.segments)) {
        const segment = contents.get(hash);
        if (segment === undefined) return false;
        segments.set(hash, segment);
      }
      const config = compileConfig(head, [...segments.values()]);
      trackChanges(current?.head, head);
      current = { head, config, segments };
      logger.info('configuration applied', { generation: head.generation, changeId: head.changeId });
      for (const handler of [...handlers]) notifyHandler(handler, config);
      return true;
    },
    onConfig: (handler) => {
      handlers.add(handler);
      if (current !== undefined) notifyHandler(handler, current.config);
      return () => handlers.delete(handler);
    },
  };
}
