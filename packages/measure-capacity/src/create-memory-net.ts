import type { NodeMesh } from '@laburnumshift/types';
import { countFrameBytes } from './count-frame-bytes.js';
import type { MemoryNet } from './memory-net.js';

type Handler = (body: unknown, from: string) => Promise<unknown>;

/**
 * Creates a net without sockets.
 *
 * @param isCounting false when encoding would disturb a measurement of time
 */
export function createMemoryNet(isCounting: boolean): MemoryNet {
  const nodes = new Map<string, Map<string, Handler>>();
  const messages = new Map<string, number>();
  const bytes = new Map<string, number>();
  const countFrame = (type: string, body: unknown): void => {
    if (!isCounting) return;
    messages.set(type, (messages.get(type) ?? 0) + 1);
    bytes.set(type, (bytes.get(type) ?? 0) + countFrameBytes(type, body));
  };
  const createMesh = (address: string): NodeMesh => {
    const handlers = new Map<string, Handler>();
    nodes.set(address, handlers);
    const callNode = async (peer: string, type: string, body: unknown): Promise<unknown> => {
      const handler = nodes.get(peer)?.get(type);
      if (handler === undefined) return { ok: false, error: { kind: 'unreachable', detail: 'no such node' } };
      if (peer === address) return { ok: true, value: await handler(body, address) };
      countFrame(type, body);
      const value = await handler(body, address);
      countFrame(type, value);
      return { ok: true, value };
    };
    return {
      callNode: callNode as NodeMesh['callNode'],
      handleMessage: (type, handler) => {
        handlers.set(type, handler);
      },
      getAddress: () => address,
      getCounts: () => Object.fromEntries(messages),
      close: () => Promise.resolve(),
    };
  };
  return { createMesh, getMessages: () => messages, getBytes: () => bytes };
}
