"""Tests of ebonyladder."""
