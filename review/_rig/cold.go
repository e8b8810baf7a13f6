package main

func coldAfterCut(r *rig) (bool, error) { return false, nil }
