/** The invariants of section 1.1 of the design page. */
export const INVARIANTS = {
  I1: 'no answer from freed or partly written blocks',
  I2: 'accounts are separate',
  I3: 'no blocks of another weight version',
  I4: 'whole and own answers',
  I5: '`not run` is true',
  I6: 'a booking runs at most once',
  I7: 'a leaving server gets no new work after 3 s',
  I8: 'a graceful stop cuts no request',
  I9: 'an accepted configuration is in force everywhere and never reverts',
} as const;
