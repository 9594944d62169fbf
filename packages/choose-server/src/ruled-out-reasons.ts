/** Why a server is not compared for a call. */
export const RULED_OUT_REASONS = {
  leaving: 'it is leaving',
  draining: 'its entry says that it is draining',
  evacuated: 'its failure domain is evacuated',
  paused: 'it asked this host for a pause',
  excluded: 'the call was sent there before',
  readmitted: 'the evacuation of its failure domain has just ended, and it gets a part of the calls',
  limited: 'it is at the limit that it states',
  coldFull: 'it is cold and at its rate',
  cold: 'it is cold, and others take the call',
  avoided: 'it asked another host for a pause or recently refused or reset calls, and others are left',
  weights: 'its weights are outdated or being replaced',
  full: 'its slots and its queue are full',
} as const;
