import type { ReturnMeter } from './return-meter.js';

const MIN_SEEN = 30;

/** Creates a meter that has seen nothing. */
export function createReturnMeter(): ReturnMeter {
  const conversations = new Set<string>();
  const services = new Map<string, { seen: number; returned: number }>();
  return {
    observeRequest: ({ conversation, kind }) => {
      const service = services.get(kind.service) ?? { seen: 0, returned: 0 };
      services.set(kind.service, service);
      service.seen += 1;
      if (conversations.has(conversation)) service.returned += 1;
      conversations.add(conversation);
    },
    getRate: (service) => {
      const counts = services.get(service);
      return counts === undefined || counts.seen < MIN_SEEN ? 1 : counts.returned / counts.seen;
    },
  };
}
