import type { EngineFaults } from './engine-faults.js';

/** All switches off. */
export const DEFAULT_ENGINE_FAULTS: EngineFaults = {
  crashMarker: '',
  crashNow: false,
  silenceOpen: false,
  streamFaults: [],
  answerDelayMs: 0,
  loseEvery: 0,
  extraEventDelayMs: 0,
  loadReports: 'live',
  refuse: false,
  leaving: false,
  otherShare: 0,
};
