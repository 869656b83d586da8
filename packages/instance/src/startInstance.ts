import murmurhash from 'murmurhash';
import type { Placement } from '@jujubecroft/decisions';
import { Membership } from '@jujubecroft/decisions';
import { ConfigurationStore, createPlatform } from '@jujubecroft/stores';
import type { InstanceSettings } from '@jujubecroft/settings';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { ClaimBook } from './claims/ClaimBook.js';
import { ClaimCollectors } from './claims/ClaimCollectors.js';
import { WriteBatcher } from './claims/WriteBatcher.js';
import { peerCredentials } from './control/peerCredentials.js';
import { startControlServer } from './control/startControlServer.js';
import type { EventLog } from '@jujubecroft/events';
import { DecisionFeed } from './host/DecisionFeed.js';
import { RouterHost } from './host/RouterHost.js';
import { createHttpApp } from './http/createHttpApp.js';
import type { InstanceContext } from './InstanceContext.js';
import { InstanceMetrics } from './metrics/InstanceMetrics.js';
import { ConfigurationSync } from './state/ConfigurationSync.js';
import { MembershipLoop } from './state/MembershipLoop.js';
import { PeerConnections } from './state/PeerConnections.js';
import { ShareLoop } from './state/ShareLoop.js';

/** An instance that accepts callers. */
export interface RunningInstance {
  readonly callerUrl: string;
  /** Host and port for operators and other instances. */
  readonly controlAddress: string;
  readonly context: InstanceContext;
  /** Takes no new work, finishes every request in flight, then stops. */
  readonly stop: () => Promise<void>;
  /** Drops everything at once, as a crash does. */
  readonly kill: () => Promise<void>;
}

/** Time for the news of a leave to reach callers and other instances. */
const LEAVE_SPREAD_MS = 1500;

/** Waits until callers and peers can know that the instance leaves. */
async function announceLeave(
  context: InstanceContext,
  loop: MembershipLoop,
): Promise<void> {
  context.leaving = true;
  context.membership.leave();
  context.log.write('instanceStopping', { inFlight: context.host.inFlight });
  await loop.spread();
  await new Promise(resolve => setTimeout(resolve, LEAVE_SPREAD_MS));
}

interface InstanceParts {
  readonly context: InstanceContext;
  readonly loop: MembershipLoop;
  readonly closePlatform: () => Promise<void>;
}

function createContext(
  settings: InstanceSettings,
  log: EventLog,
): InstanceParts {
  const platform = createPlatform(settings.platformUrl);
  const instance = brand<InstanceId>(settings.instance);
  const failureDomain = brand<FailureDomainId>(settings.failureDomain);
  const random = createRandom(murmurhash.v3(settings.instance));
  const feed = new DecisionFeed();
  const metrics = new InstanceMetrics();
  const placement: Placement = {
    instance,
    failureDomain,
    instances: [instance],
  };
  const host = new RouterHost(placement, random, feed, metrics);
  const membership = new Membership(
    {
      instance,
      failureDomain,
      callerAddress: '',
      peerAddress: '',
    },
    () => Date.now(),
    random,
  );
  const peers = new PeerConnections(peerCredentials(settings.controlTls));
  const store = new ConfigurationStore(platform.table, platform.objects);
  const sync = new ConfigurationSync(
    store,
    membership,
    peers,
    host,
    metrics,
    log,
    random,
  );
  const collectors: ClaimCollectors = new ClaimCollectors(
    membership,
    peers,
    () => batcher,
  );
  const batcher = new WriteBatcher(platform.table, () => collectors.paceMs());
  const claims = new ClaimBook(
    platform.table,
    write => collectors.write(write),
    () => Date.now(),
  );
  const loop = new MembershipLoop(
    membership,
    platform.instances,
    peers,
    host,
    metrics,
    log,
    member => {
      sync.onAhead(member);
    },
  );
  const context: InstanceContext = {
    settings,
    host,
    feed,
    metrics,
    membership,
    store,
    sync,
    claims,
    batcher,
    shares: new ShareLoop(membership, peers, host),
    log,
    isYoung: () => loop.isYoung,
    leaving: false,
  };
  return { context, loop, closePlatform: platform.close };
}

/**
 * Starts an instance and returns when it accepts callers.
 *
 * @param settings - checked settings; port 0 takes any free port
 * @param log - where events go
 * @returns the running instance
 * @throws RouterError `noConfiguration` when there is nothing to start from
 */
export async function startInstance(
  settings: InstanceSettings,
  log: EventLog,
): Promise<RunningInstance> {
  const { context, loop, closePlatform } = createContext(settings, log);
  const { host, sync, membership } = context;
  const app = await createHttpApp(context);
  const control = await startControlServer(context);
  const controlAddress = `${settings.control.host}:${control.port}`;
  await app.listen(settings.callers.port, settings.callers.host);
  const callerUrl = await app.getUrl();
  membership.announce(callerUrl, controlAddress);
  const close = async (): Promise<void> => {
    sync.stop();
    context.shares.stop();
    context.claims.stop();
    loop.stop();
    control.stop();
    await host.stop();
    await closePlatform();
  };
  try {
    await loop.start();
    await sync.start();
  } catch (err) {
    await app.close();
    await close();
    throw err;
  }
  host.start();
  context.shares.start();
  context.claims.start();
  log.write('instanceStarted', { callerUrl, controlAddress });
  return {
    callerUrl,
    controlAddress,
    context,
    stop: async () => {
      await announceLeave(context, loop);
      await host.whenIdle();
      await app.close();
      await close();
      log.write('instanceStopped', {});
    },
    kill: async () => {
      app.getHttpAdapter().getInstance().server.closeAllConnections();
      await close();
      await app.close();
    },
  };
}
