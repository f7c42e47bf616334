import {expect, test} from 'vitest';
import {emptyUpdate, peerUpdateSchema} from '../peerMessages.js';

const permit = {id: 'p1', endpoint: 'e1', isGranted: false, retryAfterMs: 200};
const statement = {instance: 'b', lifetime: '1', since: 1, finalThrough: 7, recorded: []};

// Guards against sums, waits and windows that never end because of one odd number of a peer.
test.each([
  ['prompt tokens', {sent: [['r1', 'e1', 1, 1e308, 5, 0, []]]}],
  ['negative tokens', {sent: [['r1', 'e1', 1, 10, 5, 0, [['p', -1]]]]}],
  ['slowness', {slowness: [['e1', 1e308]]}],
  ['speed', {speeds: [['e1', 1, 1e308]]}],
  ['wait', {permits: [{...permit, retryAfterMs: 1e308}]}],
  ['time', {usage: [{...statement, windows: [], time: {ownMs: 1e308}}]}],
])('an update whose %s is out of range is not accepted', (_name, fields) => {
  expect(peerUpdateSchema.safeParse({...emptyUpdate('b'), ...fields}).success).toBe(false);
});

test('an update with usual numbers is accepted', () => {
  const update = {
    ...emptyUpdate('b'),
    sent: [['r1', 'e1', 1, 10, 5, 0, [['p', 4]]]],
    slowness: [['e1', 1.5]],
    permits: [permit],
    usage: [{...statement, windows: [], time: {ownMs: Date.now()}}],
  };
  expect(peerUpdateSchema.safeParse(update).success).toBe(true);
});
