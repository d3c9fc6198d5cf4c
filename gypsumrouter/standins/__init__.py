"""Test doubles of the platform services and upstreams, and a TCP proxy that injects faults."""

from __future__ import annotations

from gypsumrouter.standins.configuration_service import ConfigurationService
from gypsumrouter.standins.deployments import (
    Deployment,
    WorkspacePlan,
    chapin,
    kotlovnica,
    make_configuration,
)
from gypsumrouter.standins.engine import Engine
from gypsumrouter.standins.fault_proxy import FaultProxy
from gypsumrouter.standins.faults import OutageKind
from gypsumrouter.standins.instance_list import InstanceListService
from gypsumrouter.standins.models import EngineSettings
from gypsumrouter.standins.partition import Partition
from gypsumrouter.standins.pipes import BOTH_DIRECTIONS, Direction
from gypsumrouter.standins.platform import SidePlan, StandinPlatform
from gypsumrouter.standins.platform_runner import PlatformRunner
from gypsumrouter.standins.published_store import PublishedStoreStandin, StoreFault, StoreSnapshot
from gypsumrouter.standins.runner_models import RunnerFault
from gypsumrouter.standins.service import Service
from gypsumrouter.standins.weight_store import WeightStore

__all__ = [
    "BOTH_DIRECTIONS",
    "ConfigurationService",
    "Deployment",
    "Direction",
    "Engine",
    "EngineSettings",
    "FaultProxy",
    "InstanceListService",
    "OutageKind",
    "Partition",
    "PlatformRunner",
    "PublishedStoreStandin",
    "RunnerFault",
    "Service",
    "SidePlan",
    "StandinPlatform",
    "StoreFault",
    "StoreSnapshot",
    "WeightStore",
    "WorkspacePlan",
    "chapin",
    "kotlovnica",
    "make_configuration",
]
