import {describe, expect, test} from 'vitest';
import {EtcdEra} from '../etcdEra.js';

describe('the era of an etcd cluster', () => {
  test('rises when another cluster responds', () => {
    const era = new EtcdEra();
    expect(era.observe({cluster_id: 'a', revision: 5}, 0)).toBe(0);
    expect(era.observe({cluster_id: 'b', revision: 9}, 5)).toBe(1);
    expect(era.findError(0, true)).toMatchObject({code: 'restored', mayHaveTakenEffect: true});
    expect(era.findError(1, true)).toBeUndefined();
  });

  test('rises when a response is older than one that had arrived before its call', () => {
    const era = new EtcdEra();
    era.observe({cluster_id: 'a', revision: 5}, 0);
    expect(era.observe({cluster_id: 'a', revision: 3}, era.newestRevision)).toBe(1);
    expect(era.newestRevision).toBe(3);
  });

  test('stays when calls overlap, and when a response states no revision', () => {
    const era = new EtcdEra();
    const newestAtStart = era.newestRevision;
    era.observe({cluster_id: 'a', revision: 5}, newestAtStart);
    expect(era.observe({cluster_id: 'a', revision: 4}, newestAtStart)).toBe(0);
    expect(era.observe({cluster_id: 'a', revision: 0}, era.newestRevision)).toBe(0);
    expect(era.newestRevision).toBe(5);
  });
});
