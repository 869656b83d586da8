import murmurhash from 'murmurhash';
import type { Placement } from '@jujubecroft/decisions';
import { Membership } from '@jujubecroft/decisions';
import { ConfigurationStore, createPlatform } from '@jujubecroft/stores';
import type { InstanceSettings } from '@jujubecroft/settings';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { ClaimStore } from './claims/ClaimStore.js';
import { ClaimCollectors } from './claims/ClaimCollectors.js';
import { WriteBatcher } from './claims/WriteBatcher.js';
import { createPeerCredentials } from './control/createPeerCredentials.js';
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

/** A started instance that accepts requests. */
export interface RunningInstance {
  readonly callerUrl: string;
  /** Host and port of the gRPC server for operators and other instances. */
  readonly controlAddress: string;
  readonly context: InstanceContext;
  /** Graceful stop: rejects new requests and finishes those in flight. */
  readonly stop: () => Promise<void>;
  /** Drops all connections at once, to simulate a crash. */
  readonly kill: () => Promise<void>;
}

/**
 * Time that callers and other instances need to learn that this instance is
 * leaving.
 */
const LEAVE_PROPAGATION_MS = 1500;

/**
 * Announces the leave and waits until callers and peers can have learned of it.
 */
async function announceLeave(
  context: InstanceContext,
  loop: MembershipLoop,
): Promise<void> {
  context.leaving = true;
  context.membership.leave();
  context.log.write('instanceStopping', { inFlight: context.host.inFlight });
  await loop.spread();
  await new Promise(resolve => setTimeout(resolve, LEAVE_PROPAGATION_MS));
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
  const peers = new PeerConnections(createPeerCredentials(settings.controlTls));
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
  const batcher = new WriteBatcher(platform.table, () =>
    collectors.batchPauseMs(),
  );
  const claims = new ClaimStore(
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
      sync.onNewerRevision(member);
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
    isJoining: () => loop.isJoining,
    leaving: false,
  };
  return { context, loop, closePlatform: platform.close };
}

/**
 * Starts an instance and resolves when it accepts requests.
 *
 * @param settings - validated settings; port 0 selects a free port
 * @param log - log of the instance
 * @returns the running instance
 * @throws RouterError `noConfiguration` if no source has a configuration
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
