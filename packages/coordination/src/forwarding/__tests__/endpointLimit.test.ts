import {describe, expect, test} from 'vitest';
import {applyLimitNotice} from '../endpointLimit.js';

const stated = {perSecond: 2, statedAtMs: 100};

describe('the limit of an endpoint', () => {
  test('holds from the first response that states it', () => {
    const notice = {perSecond: 2, sentAtMs: 50, receivedAtMs: 100};
    expect(applyLimitNotice(undefined, notice)).toEqual(stated);
  });

  test('is replaced by a later one', () => {
    const notice = {perSecond: 3, sentAtMs: 90, receivedAtMs: 120};
    expect(applyLimitNotice(stated, notice)).toEqual({perSecond: 3, statedAtMs: 120});
  });

  test('is ended by a response without one to a request that was sent later', () => {
    const notice = {perSecond: undefined, sentAtMs: 101, receivedAtMs: 130};
    expect(applyLimitNotice(stated, notice)).toEqual({perSecond: undefined, statedAtMs: 130});
  });

  test('is not ended by a response to a request that was sent before it was stated', () => {
    const notice = {perSecond: undefined, sentAtMs: 99, receivedAtMs: 130};
    expect(applyLimitNotice(stated, notice)).toBe(stated);
  });
});
